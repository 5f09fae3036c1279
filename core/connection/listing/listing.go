// Package listing reads documents over HTTP from a service outside the tier
// that lists targets.
package listing

import (
	"context"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/mulberrydale/mulberrydale/core/result"
)

// idleTimeout is how long an idle connection to the service stays open.
const idleTimeout = 30 * time.Second

// Client reads documents from one address.
type Client struct {
	address  string
	maxBytes int64
	http     *http.Client
}

// NewClient returns a client for an IP address and port that accepts documents
// of at most maxBytes. It ignores the proxy settings of the environment.
func NewClient(address string, maxBytes int64) *Client {
	transport := &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 1, IdleConnTimeout: idleTimeout}
	return &Client{address: address, maxBytes: maxBytes, http: &http.Client{Transport: transport}}
}

// Get returns the document at a path. A status other than 200 and an incomplete
// document are errors with the code Unreachable, a document over maxBytes is one
// with the code DocumentTooLarge.
func (c *Client) Get(ctx context.Context, path string, query url.Values) ([]byte, error) {
	u := url.URL{Scheme: "http", Host: c.address, Path: path, RawQuery: query.Encode()}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u.String(), http.NoBody)
	if err != nil {
		return nil, result.Wrap(err, result.BadAddress, "list at %s", c.address)
	}
	res, err := c.http.Do(req)
	if err != nil {
		// An unresponsive connection must not be reused.
		c.http.CloseIdleConnections()
		return nil, result.Wrap(err, result.Unreachable, "list at %s", c.address)
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return nil, result.New(result.Unreachable, "list at %s: status %d", c.address, res.StatusCode)
	}
	text, err := io.ReadAll(io.LimitReader(res.Body, c.maxBytes+1))
	if err != nil {
		return nil, result.Wrap(err, result.Unreachable, "list at %s", c.address)
	}
	if int64(len(text)) > c.maxBytes {
		return nil, result.New(result.DocumentTooLarge, "list at %s: over %d bytes", c.address, c.maxBytes)
	}
	return text, nil
}
