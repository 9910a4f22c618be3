// Package faultproxy is a TCP proxy on loopback whose links can be made slow, lossy or dead, each direction by itself.
// It knows nothing of what it carries.
package faultproxy
