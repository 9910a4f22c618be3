package inventory

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"

	"github.com/covelink/covelink/api/enginev1"
	"github.com/covelink/covelink/api/machinesv1"
)

// maxListBytes bounds the answer of the machine list.
const maxListBytes = 16 << 20

// ErrMachineList reports an answer of the machine list that is not a list.
var ErrMachineList = errors.New("inventory: machine list not usable")

// MachineLister reads the platform's machine list.
type MachineLister interface {
	// List returns the machines of a zone, as of some time ago.
	List(ctx context.Context, zone string) (machinesv1.List, error)
}

// LoadReader reads load reports of engines.
type LoadReader interface {
	// Load returns the report of the engine at a base URL. The report lags.
	Load(ctx context.Context, url string) (enginev1.Load, error)
}

// HTTPMachineLister is a MachineLister that speaks machinesv1.
type HTTPMachineLister struct {
	baseURL string
	client  *http.Client
}

// NewHTTPMachineLister returns a lister for the service at baseURL. A nil client means http.DefaultClient.
func NewHTTPMachineLister(baseURL string, client *http.Client) *HTTPMachineLister {
	if client == nil {
		client = http.DefaultClient
	}
	return &HTTPMachineLister{baseURL: baseURL, client: client}
}

// List implements MachineLister. Its errors wrap ErrMachineList or the transport's error.
func (l *HTTPMachineLister) List(ctx context.Context, zone string) (machinesv1.List, error) {
	var list machinesv1.List
	target := l.baseURL + machinesv1.PathMachines + "?" + url.Values{machinesv1.ParamZone: {zone}}.Encode()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return list, fmt.Errorf("%w: %w", ErrMachineList, err)
	}
	response, err := l.client.Do(request)
	if err != nil {
		return list, fmt.Errorf("inventory: read machine list: %w", err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return list, fmt.Errorf("%w: status %d", ErrMachineList, response.StatusCode)
	}
	return decodeList(response.Body)
}

// decodeList reads a whole list. A list cut short is an error, never a shorter list.
func decodeList(body io.Reader) (machinesv1.List, error) {
	var list machinesv1.List
	content, err := io.ReadAll(io.LimitReader(body, maxListBytes+1))
	if err != nil {
		return list, fmt.Errorf("inventory: read machine list: %w", err)
	}
	if len(content) > maxListBytes {
		return list, fmt.Errorf("%w: above %d bytes", ErrMachineList, maxListBytes)
	}
	if err := json.Unmarshal(content, &list); err != nil {
		return machinesv1.List{}, fmt.Errorf("%w: not JSON", ErrMachineList)
	}
	if list.Machines == nil {
		return machinesv1.List{}, fmt.Errorf("%w: no machines member", ErrMachineList)
	}
	return list, nil
}
