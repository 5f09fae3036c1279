// Package platform reads the platform's list of VMs and targets. It is the only
// package that depends on the wire format of the list. The list can be out of
// date.
package platform

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/mulberrydale/mulberrydale/core/result"
	"github.com/mulberrydale/mulberrydale/core/version/document"
)

const (
	listPath     = "/vms"
	listTimeout  = time.Second
	maxListBytes = 16 << 20
)

// Machine is an entry of the list, a VM or a target.
type Machine struct {
	name    string
	leaving bool
}

// Name returns the name of the VM or target.
func (m Machine) Name() string { return m.name }

// Leaving reports whether the platform is about to remove the machine.
func (m Machine) Leaving() bool { return m.leaving }

// Client reads the list of machines from the platform over HTTP.
type Client struct {
	address string
	client  *http.Client
}

// New returns a client for the platform at an address of the form IP:port. It
// ignores the proxy settings of the environment.
func New(address string) *Client {
	return &Client{address: address, client: &http.Client{Transport: &http.Transport{}}}
}

// ListMachines requests the list of machines. It fails after listTimeout; a
// list of more than maxListBytes is truncated and then fails to decode. The HTTP
// status of the response is not checked.
func (c *Client) ListMachines(ctx context.Context) ([]Machine, error) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.address+listPath, http.NoBody)
	if err != nil {
		return nil, result.Wrap(err, result.BadAddress, "creating the request for the list of machines at %s", c.address)
	}
	res, err := c.client.Do(req)
	if err != nil {
		return nil, result.Wrap(err, result.Unreachable, "requesting the list of machines at %s", c.address)
	}
	defer res.Body.Close()
	text, err := io.ReadAll(io.LimitReader(res.Body, maxListBytes))
	if err != nil {
		return nil, result.Wrap(err, result.Unreachable, "reading the list of machines at %s", c.address)
	}
	return decodeList(text)
}

// decodeList decodes the list. An empty text is an empty list. A machine is
// leaving if its state is "leaving"; without a state or with any other state it
// is not.
func decodeList(text []byte) ([]Machine, error) {
	if len(text) == 0 {
		return nil, nil
	}
	doc, err := document.Parse(text)
	if err != nil {
		return nil, err
	}
	var machines []Machine
	for _, o := range doc.Root().Objects("machines") {
		machines = append(machines, Machine{name: o.String("name"), leaving: o.StringOr("state", "live") == "leaving"})
	}
	return machines, doc.Err()
}
