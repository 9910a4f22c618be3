package processes

import (
	"context"
	"time"

	"github.com/go-kit/log"

	"github.com/covelink/covelink/internal/lab/faultproxy"
)

// Callers is the end of the links of the trainer, the applications and the operators, which are no processes.
const Callers = "callers"

// Link names the connections that one process opens to another one.
type Link struct {
	From, To string
}

// links are the proxies of a deployment. Each process has one or two public addresses, which are known before it starts;
// each is a proxy itself. Beside it, there is one proxy for every process that dials the address.
type links struct {
	logger log.Logger
	// byAddress holds every proxy that leads to a public address.
	byAddress map[string][]*faultproxy.Proxy
	byLink    map[Link]*faultproxy.Proxy
	all       []*faultproxy.Proxy
}

func newLinks(logger log.Logger) *links {
	return &links{logger: logger, byAddress: map[string][]*faultproxy.Proxy{}, byLink: map[Link]*faultproxy.Proxy{}}
}

// public starts the proxy of a new public address and returns the address. The system chooses the port.
func (l *links) public() (string, error) {
	proxy, err := l.start(0)
	if err != nil {
		return "", err
	}
	l.byAddress[proxy.Address()] = []*faultproxy.Proxy{proxy}
	return proxy.Address(), nil
}

// add starts the proxy of a link to a public address and returns the address by which the link is dialled.
func (l *links) add(link Link, address string, delay time.Duration) (string, error) {
	proxy, err := l.start(delay)
	if err != nil {
		return "", err
	}
	l.byAddress[address] = append(l.byAddress[address], proxy)
	l.byLink[link] = proxy
	return proxy.Address(), nil
}

func (l *links) start(delay time.Duration) (*faultproxy.Proxy, error) {
	proxy := faultproxy.New(faultproxy.Config{Delay: delay}, l.logger)
	if err := proxy.Start(); err != nil {
		return nil, err
	}
	l.all = append(l.all, proxy)
	return proxy, nil
}

// retarget makes every proxy of a public address lead to where its process listens now; "" means that it does not.
func (l *links) retarget(address, target string) {
	for _, proxy := range l.byAddress[address] {
		proxy.Retarget(target)
	}
}

func (l *links) stop(ctx context.Context) {
	for _, proxy := range l.all {
		proxy.Stop(ctx)
	}
}
