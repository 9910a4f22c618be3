// Package quarantine tells requests that end the engines that run them from those that are bystanders.
package quarantine
