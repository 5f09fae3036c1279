// Package listing reads documents over HTTP from an external service that lists
// targets.
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

// NewClient returns a client for the service at an IP address and port. The
// client accepts documents of at most maxBytes and ignores the proxy settings
// of the environment.
func NewClient(address string, maxBytes int64) *Client {
	transport := &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 1, IdleConnTimeout: idleTimeout}
	return &Client{address: address, maxBytes: maxBytes, http: &http.Client{Transport: transport}}
}

// Get returns the document at a path with a query. A failed request, a status
// other than 200 and an incomplete document are errors with the code
// Unreachable. A document over maxBytes is an error with the code
// DocumentTooLarge, and an invalid address one with the code BadAddress.
func (c *Client) Get(ctx context.Context, path string, query url.Values) ([]byte, error) {
	u := url.URL{Scheme: "http", Host: c.address, Path: path, RawQuery: query.Encode()}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u.String(), http.NoBody)
	if err != nil {
		return nil, result.Wrap(err, result.BadAddress, "creating the request for the list at %s", c.address)
	}
	res, err := c.http.Do(req)
	if err != nil {
		// An idle connection to the service may be unresponsive too and must not be
		// reused.
		c.http.CloseIdleConnections()
		return nil, result.Wrap(err, result.Unreachable, "requesting the list at %s", c.address)
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return nil, result.New(result.Unreachable, "the list at %s was returned with status %d, expected 200", c.address, res.StatusCode)
	}
	text, err := io.ReadAll(io.LimitReader(res.Body, c.maxBytes+1))
	if err != nil {
		return nil, result.Wrap(err, result.Unreachable, "reading the list at %s", c.address)
	}
	if int64(len(text)) > c.maxBytes {
		return nil, result.New(result.DocumentTooLarge, "the list at %s is over the limit of %d bytes", c.address, c.maxBytes)
	}
	return text, nil
}
