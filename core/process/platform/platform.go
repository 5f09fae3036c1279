// Package platform reads the platform's list of VMs. It is the only package
// that knows the list's wire form. The list lags.
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

// Machine is one line of the list.
type Machine struct {
	name    string
	leaving bool
}

// Name returns the name of the VM or target.
func (m Machine) Name() string { return m.name }

// Leaving reports whether the platform is about to take the machine away.
func (m Machine) Leaving() bool { return m.leaving }

// Client is a client of the platform's list.
type Client struct {
	address string
	client  *http.Client
}

// New returns a client of the platform at an IP number and port. No proxy of
// the environment stands between.
func New(address string) *Client {
	return &Client{address: address, client: &http.Client{Transport: &http.Transport{}}}
}

// ListMachines asks for the list.
func (c *Client) ListMachines(ctx context.Context) ([]Machine, error) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.address+listPath, http.NoBody)
	if err != nil {
		return nil, result.Wrap(err, result.BadAddress, "platform")
	}
	res, err := c.client.Do(req)
	if err != nil {
		return nil, result.Wrap(err, result.Unreachable, "platform")
	}
	defer res.Body.Close()
	text, err := io.ReadAll(io.LimitReader(res.Body, maxListBytes))
	if err != nil {
		return nil, result.Wrap(err, result.Unreachable, "platform")
	}
	return decodeList(text)
}

// decodeList reads the list; an empty text is an empty list.
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
