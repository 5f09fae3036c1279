package operator

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/mulberrydale/mulberrydale/core/process/audit"
	"github.com/mulberrydale/mulberrydale/core/result"
	"github.com/mulberrydale/mulberrydale/core/version/configuration"
	"github.com/mulberrydale/mulberrydale/core/version/document"
)

const (
	// clientTimeout limits one request to a VM.
	clientTimeout = 10 * time.Second
	// maxResponseBytes limits a response. None of those that can be decoded is
	// longer.
	maxResponseBytes = 2 * document.MaxBytes
)

// Client sends requests to the operators' interface of a VM.
type Client struct {
	address string
	client  *http.Client
}

// NewClient returns a client for the VM at an IP address and port. It ignores
// the proxy settings of the environment.
func NewClient(address string) *Client {
	return &Client{address: address, client: &http.Client{Timeout: clientTimeout, Transport: &http.Transport{}}}
}

// Configuration returns the version of the active configuration, the decoded
// configuration and its text. If no configuration is active yet, the version is
// 0 and the rest is empty.
func (c *Client) Configuration(ctx context.Context) (uint64, configuration.Configuration, []byte, error) {
	text, header, err := c.get(ctx, PathConfiguration)
	if err != nil {
		return 0, configuration.Configuration{}, nil, err
	}
	version, err := strconv.ParseUint(header.Get(HeaderVersion), 10, 64)
	if err != nil {
		return 0, configuration.Configuration{}, nil, result.Wrap(err, result.Unreachable, "%s sent no valid version header", c.address)
	}
	if version == 0 {
		return 0, configuration.Configuration{}, nil, nil
	}
	cfg, err := configuration.Decode(text)
	return version, cfg, text, err
}

// Status returns the VM's status, which includes the states of the other VMs as
// last reported to it.
func (c *Client) Status(ctx context.Context) (Status, error) {
	text, _, err := c.get(ctx, PathStatus)
	if err != nil {
		return Status{}, err
	}
	return DecodeStatus(text)
}

// Audit returns the VM's copy of the audit trail.
func (c *Client) Audit(ctx context.Context) ([]audit.Record, error) {
	text, _, err := c.get(ctx, PathAudit)
	if err != nil {
		return nil, err
	}
	return DecodeAudit(text)
}

// Send sends a change and returns its outcome. If the request fails, the
// outcome is unknown and the error has the code ChangeUnknown; the same change
// may then be sent again. The outcome is also unknown if the response can't be
// decoded, but that error has the code of the decoding fault. A change that
// can't be encoded is not sent, and the error has the code Syntax; an invalid
// address gives the code BadAddress.
func (c *Client) Send(ctx context.Context, change Change) (Outcome, error) {
	body, err := EncodeChange(change)
	if err != nil {
		return Outcome{}, result.Wrap(err, result.Syntax, "the change can't be encoded as JSON")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.address+PathChanges, bytes.NewReader(body))
	if err != nil {
		return Outcome{}, result.Wrap(err, result.BadAddress, "creating the request")
	}
	text, _, err := c.do(req)
	if err != nil {
		return Outcome{}, result.Wrap(err, result.ChangeUnknown, "the outcome is not known; send the change again with its id")
	}
	return DecodeOutcome(text)
}

func (c *Client) get(ctx context.Context, path string) ([]byte, http.Header, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.address+path, http.NoBody)
	if err != nil {
		return nil, nil, result.Wrap(err, result.BadAddress, "creating the request")
	}
	return c.do(req)
}

// do sends a request and returns the body and header of the response. A status
// other than 200 is an error, with the result code in the body if there is one;
// responses to POST are returned with any status, because they hold the outcome
// of a change.
func (c *Client) do(req *http.Request) ([]byte, http.Header, error) {
	res, err := c.client.Do(req)
	if err != nil {
		return nil, nil, result.Wrap(err, result.Unreachable, "request to %s", c.address)
	}
	defer res.Body.Close()
	text, err := io.ReadAll(io.LimitReader(res.Body, maxResponseBytes+1))
	if err != nil {
		return nil, nil, result.Wrap(err, result.Unreachable, "reading the response of %s", c.address)
	}
	if len(text) > maxResponseBytes {
		return nil, nil, result.New(result.DocumentTooLarge, "the response of %s has more than %d bytes", c.address, maxResponseBytes)
	}
	if res.StatusCode == http.StatusOK || req.Method == http.MethodPost {
		return text, res.Header, nil
	}
	if refusal, err := DecodeOutcome(text); err == nil {
		return nil, nil, result.New(refusal.Code(), "%s", refusal.Message())
	}
	return nil, nil, result.New(result.Unreachable, "%s responded with status %d, expected 200", c.address, res.StatusCode)
}
