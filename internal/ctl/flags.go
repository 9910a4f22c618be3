package ctl

import (
	"crypto/tls"
	"crypto/x509"
	"net"
	"net/http"
	"net/url"
	"os"
	"strings"

	"github.com/urfave/cli/v3"

	v1 "github.com/covelink/covelink/api/v1"
	"github.com/covelink/covelink/internal/commandline"
)

// The names of the flags.
const (
	flagServer    = "server"
	flagToken     = "token"
	flagTokenFile = "token-file"
	flagCAFile    = "ca-file"
	flagFile      = "filename"
	flagDryRun    = "dry-run"
	flagConfirm   = "confirm"
	flagWait      = "wait"
	flagTimeout   = "timeout"
	flagOutput    = "output"

	defaultServer = "http://127.0.0.1:8080"
)

func clientFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringSliceFlag{
			Name:    flagServer,
			Usage:   "base URL of a node; several are tried in their order",
			Value:   []string{defaultServer},
			Sources: cli.EnvVars("COVELINK_SERVER"),
		},
		&cli.StringFlag{Name: flagToken, Usage: "operator token", Sources: cli.EnvVars("COVELINK_TOKEN"), HideDefault: true},
		&cli.StringFlag{Name: flagTokenFile, Usage: "file that holds the operator token"},
		&cli.StringFlag{Name: flagCAFile, Usage: "PEM file of the authority that signed the servers' certificates"},
	}
}

// newClient returns the client that the flags state.
func newClient(command *cli.Command) (*client, error) {
	servers, err := checkServers(command.StringSlice(flagServer))
	if err != nil {
		return nil, err
	}
	token, err := readToken(command)
	if err != nil {
		return nil, err
	}
	transport := &http.Transport{
		Proxy:       http.ProxyFromEnvironment,
		DialContext: (&net.Dialer{Timeout: dialTimeout}).DialContext,
	}
	if file := command.String(flagCAFile); file != "" {
		roots, err := readRoots(file)
		if err != nil {
			return nil, err
		}
		transport.TLSClientConfig = &tls.Config{RootCAs: roots, MinVersion: tls.VersionTLS12}
	}
	// A redirect is not followed: the token is for the named servers only.
	refuseRedirect := func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &client{servers: servers, token: token, http: &http.Client{Transport: transport, CheckRedirect: refuseRedirect}}, nil
}

func checkServers(values []string) ([]string, error) {
	servers := make([]string, 0, len(values))
	for _, value := range values {
		value = strings.TrimRight(strings.TrimSpace(value), "/")
		parsed, err := url.Parse(value)
		if err != nil || (parsed.Scheme != "http" && parsed.Scheme != "https") || parsed.Host == "" {
			return nil, commandline.UsageErrorf("--server %q: must be an http or https URL", value)
		}
		servers = append(servers, value)
	}
	if len(servers) == 0 {
		return nil, commandline.UsageErrorf("--server: must name at least one")
	}
	return servers, nil
}

func readToken(command *cli.Command) (string, error) {
	file := command.String(flagTokenFile)
	if file == "" {
		return command.String(flagToken), nil
	}
	content, err := os.ReadFile(file)
	if err != nil {
		return "", commandline.UsageErrorf("--token-file: %s", err)
	}
	token := strings.TrimSpace(string(content))
	if token == "" || strings.ContainsAny(token, "\r\n") {
		return "", commandline.UsageErrorf("--token-file: %s: must hold one line with the token", file)
	}
	return token, nil
}

func readRoots(file string) (*x509.CertPool, error) {
	content, err := os.ReadFile(file)
	if err != nil {
		return nil, commandline.UsageErrorf("--ca-file: %s", err)
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(content) {
		return nil, commandline.UsageErrorf("--ca-file: %s: holds no PEM certificate", file)
	}
	return roots, nil
}

func parseKind(text string) (v1.Kind, error) {
	kind, known := v1.ParseKind(text)
	if !known {
		return "", commandline.UsageErrorf("unknown kind %q: one of zones, pools, trainers, applications", text)
	}
	return kind, nil
}

func writeFlags() []cli.Flag {
	return []cli.Flag{
		&cli.BoolFlag{Name: flagDryRun, Usage: "check at the server, change nothing"},
		&cli.BoolFlag{Name: flagConfirm, Usage: "change even what takes a pool's zone or a user's pool away"},
	}
}

func readWriteOptions(command *cli.Command) writeOptions {
	return writeOptions{dryRun: command.Bool(flagDryRun), confirm: command.Bool(flagConfirm)}
}
