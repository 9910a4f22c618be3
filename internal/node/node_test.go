package node_test

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"io"
	"net"
	"net/http"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"
	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/goleak"

	v1 "github.com/covelink/covelink/api/v1"
	"github.com/covelink/covelink/internal/lab/machines"
	"github.com/covelink/covelink/internal/lab/objectapi"
	"github.com/covelink/covelink/internal/node"
	"github.com/covelink/covelink/internal/settings"
	"github.com/covelink/covelink/internal/testkit"
)

const (
	patience      = 30 * time.Second
	pollInterval  = 5 * time.Millisecond
	operatorToken = "operator-token"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// eventually polls a condition.
func eventually(what string, condition func() bool) {
	deadline := time.Now().Add(patience)
	for !condition() {
		if time.Now().After(deadline) {
			So("timed out: "+what, ShouldBeEmpty)
		}
		time.Sleep(pollInterval)
	}
}

// fixture is a platform and the nodes of one zone.
type fixture struct {
	objects  *objectapi.Server
	machines *machines.Server
	log      *testkit.Buffer
	seeds    []settings.Seed
	nodes    map[string]*node.Node
}

func newFixture(names ...string) *fixture {
	f := &fixture{
		objects:  objectapi.New(objectapi.Config{Listen: "127.0.0.1:0"}, log.NewNopLogger()),
		machines: machines.New(machines.Config{}, log.NewNopLogger()),
		log:      &testkit.Buffer{},
		nodes:    map[string]*node.Node{},
	}
	So(f.objects.Start(), ShouldBeNil)
	So(f.machines.Start(), ShouldBeNil)
	zone := v1.RawObject{Kind: v1.KindZone, Metadata: v1.ObjectMeta{Name: "z", Generation: 1}, Spec: []byte(`{"region":"r"}`)}
	_, err := f.objects.Store.Create(zone)
	So(err, ShouldBeNil)
	for _, name := range names {
		f.seeds = append(f.seeds, settings.Seed{Name: name, Zone: "z", Address: freeAddress()})
	}
	return f
}

func freeAddress() string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	So(err, ShouldBeNil)
	defer listener.Close()
	return listener.Addr().String()
}

func (f *fixture) start(seed settings.Seed, files settings.TLS) *node.Node {
	config := settings.Default()
	config.Node.Name, config.Node.Zone = seed.Name, seed.Zone
	config.Listen = settings.Listen{HTTP: "127.0.0.1:0", Internal: seed.Address}
	config.Platform = settings.Platform{ObjectAPI: f.objects.URL(), MachineList: f.machines.URL()}
	config.Cluster.Seeds = f.seeds
	config.Operators = []settings.Operator{{Name: "o", TokenHash: v1.HashToken(operatorToken), Role: settings.RoleOperator}}
	config.Timing.DrainTimeout = patience
	config.TLS = files
	So(config.Check(), ShouldBeNil)
	created, err := node.New(config, log.NewLogfmtLogger(f.log), node.Options{})
	So(err, ShouldBeNil)
	So(created.Start(context.Background()), ShouldBeNil)
	f.nodes[seed.Name] = created
	return created
}

func (f *fixture) stop() {
	var stopping sync.WaitGroup
	for _, started := range f.nodes {
		stopping.Go(func() { _ = started.Stop(context.Background()) })
	}
	stopping.Wait()
	f.objects.Stop()
	_ = f.machines.Stop(context.Background())
}

func get(client *http.Client, url string) (int, string) {
	request, err := http.NewRequest(http.MethodGet, url, nil)
	So(err, ShouldBeNil)
	request.Header.Set("Authorization", "Bearer "+operatorToken)
	response, err := client.Do(request)
	if err != nil {
		return 0, err.Error()
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	So(err, ShouldBeNil)
	return response.StatusCode, string(body)
}

func ready(client *http.Client, base string) func() bool {
	return func() bool {
		code, _ := get(client, base+"/readyz")
		return code == http.StatusOK
	}
}

func newClient(config *tls.Config) *http.Client {
	return &http.Client{Transport: &http.Transport{DisableKeepAlives: true, TLSClientConfig: config}}
}

func TestPlannedStopEndsWatches(t *testing.T) {
	Convey("A planned stop ends the watches of operators and does not wait for their callers", t, func() {
		f := newFixture("n")
		Reset(f.stop)
		started := f.start(f.seeds[0], settings.TLS{})
		client, base := newClient(nil), "http://"+started.HTTPAddress()
		eventually("ready", ready(client, base))
		request, err := http.NewRequest(http.MethodGet, base+"/apis/covelink.io/v1/zones?watch=true", nil)
		So(err, ShouldBeNil)
		request.Header.Set("Authorization", "Bearer "+operatorToken)
		response, err := client.Do(request)
		So(err, ShouldBeNil)
		defer response.Body.Close()
		So(response.StatusCode, ShouldEqual, http.StatusOK)
		ended := make(chan error, 1)
		go func() {
			_, err := io.Copy(io.Discard, response.Body)
			ended <- err
		}()
		So(started.Stop(context.Background()), ShouldBeNil)
		So(<-ended, ShouldBeNil)
		for _, line := range strings.Split(strings.TrimSpace(f.log.String()), "\n") {
			So(strings.Count(line, "part="), ShouldEqual, 1)
		}
	})
}

// metricValue is a moment as the metrics show it.
func metricValue(moment time.Time) string {
	return strconv.FormatFloat(float64(moment.Unix()), 'g', -1, 64)
}

func TestSecuredNodes(t *testing.T) {
	Convey("Given two nodes with mutual TLS between them and TLS to callers", t, func() {
		folder := t.TempDir()
		authority := newAuthority()
		f := newFixture("n1", "n2")
		Reset(f.stop)
		expiry := time.Now().Add(time.Hour).Truncate(time.Second)
		for _, seed := range f.seeds {
			So(authority.Issue(filepath.Join(folder, seed.Name), seed.Name, expiry), ShouldBeNil)
			f.start(seed, files(folder, seed.Name))
		}
		client := newClient(&tls.Config{RootCAs: authority.Pool()})
		base := func(name string) string { return "https://" + f.nodes[name].HTTPAddress() }
		for name := range f.nodes {
			eventually(name+" ready", ready(client, base(name)))
		}

		Convey("each node serves its callers by TLS only and tells when its certificates expire", func() {
			_, body := get(client, base("n1")+"/metrics")
			for _, use := range []string{"internal", "callers"} {
				So(body, ShouldContainSubstring,
					fmt.Sprintf("covelink_certificate_expiry_timestamp_seconds{use=%q} %s\n", use, metricValue(expiry)))
			}
			code, _ := get(newClient(nil), "http://"+f.nodes["n1"].HTTPAddress()+"/healthz")
			So(code, ShouldNotEqual, http.StatusOK)
			code, _ = get(newClient(&tls.Config{RootCAs: x509.NewCertPool()}), base("n1")+"/healthz")
			So(code, ShouldEqual, 0)
		})

		Convey("a certificate that is replaced is used without a restart", func() {
			later := expiry.Add(time.Hour)
			So(authority.Issue(filepath.Join(folder, "n1"), "n1", later), ShouldBeNil)
			eventually("the new certificate", func() bool {
				_, body := get(client, base("n1")+"/metrics")
				return strings.Count(body, "} "+metricValue(later)+"\n") == 2
			})
			conn, err := tls.Dial("tcp", f.nodes["n1"].HTTPAddress(), &tls.Config{RootCAs: authority.Pool()})
			So(err, ShouldBeNil)
			defer conn.Close()
			So(conn.ConnectionState().PeerCertificates[0].NotAfter, ShouldEqual, later.UTC())
			So(ready(client, base("n2"))(), ShouldBeTrue)
		})

		Convey("a node whose certificate is of another authority never gets its zone's configuration", func() {
			So(f.nodes["n2"].Stop(context.Background()), ShouldBeNil)
			delete(f.nodes, "n2")
			So(newAuthority().Issue(filepath.Join(folder, "n2"), "n2", expiry), ShouldBeNil)
			coordinates := strings.Contains(f.log.String(), "msg=\"coordinating the zone\" zone=z")
			So(coordinates, ShouldBeTrue)
			conn, err := tls.Dial("tcp", f.seeds[0].Address, &tls.Config{RootCAs: authority.Pool(), Certificates: certificate(folder, "n2")})
			if err == nil {
				// TLS 1.3 tells a client that its certificate was refused on the first read.
				defer conn.Close()
				_, err = conn.Read(make([]byte, 1))
			}
			So(err, ShouldNotBeNil)
			So(err, ShouldNotEqual, io.EOF)
		})
	})
}

func TestUnfitCertificate(t *testing.T) {
	Convey("A node does not start with a key that does not fit its certificate", t, func() {
		folder := t.TempDir()
		authority := newAuthority()
		So(authority.Issue(filepath.Join(folder, "a"), "a", time.Now().Add(time.Hour)), ShouldBeNil)
		So(authority.Issue(filepath.Join(folder, "b"), "b", time.Now().Add(time.Hour)), ShouldBeNil)
		config := settings.Default()
		config.Node.Name, config.Node.Zone = "a", "z"
		config.Listen = settings.Listen{HTTP: "127.0.0.1:0", Internal: "127.0.0.1:0"}
		config.Platform = settings.Platform{ObjectAPI: "http://127.0.0.1:1", MachineList: "http://127.0.0.1:1"}
		config.Cluster.Seeds = []settings.Seed{{Name: "a", Zone: "z", Address: "127.0.0.1:1"}}
		config.TLS = files(folder, "a")
		config.TLS.KeyFile = filepath.Join(folder, "b", testkit.KeyFile)
		_, err := node.New(config, log.NewNopLogger(), node.Options{})
		So(err, ShouldNotBeNil)
		So(err.Error(), ShouldContainSubstring, testkit.KeyFile)
	})
}
