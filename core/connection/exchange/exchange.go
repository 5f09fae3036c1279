// Package exchange sends requests to targets over HTTP/1.1 and classifies the
// responses: a complete response to this request, a refusal, or one that must
// not be passed on. The names of all headers that HTTP does not define are
// configurable, so that this system works with targets that use different
// names.
package exchange

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mulberrydale/mulberrydale/core/connection/upstream"
	"github.com/mulberrydale/mulberrydale/core/request/relay"
	"github.com/mulberrydale/mulberrydale/core/result"
)

// maxIdleForNonIdempotent is the longest time that a connection may have been
// idle before it carries a request that must not be sent twice: the target may
// be closing an idle connection at the moment at which the request is sent.
const maxIdleForNonIdempotent = time.Second

// requestLineBytes is the usual size of the request line and the fields that
// encodeRequest sets, without the URI. Longer ones are encoded all the same.
const requestLineBytes = 256

// maxCopiedBytes is the largest header and body together that are copied, so that the
// request is one buffer.
const maxCopiedBytes = 4 << 10

// endOfHead is the empty line after the header.
var endOfHead = []byte("\r\n")

// Sender sends requests to targets over pooled connections.
type Sender struct {
	pool  *upstream.Pool
	names HeaderNames
}

// NewSender returns a sender that takes its connections from a pool.
func NewSender(pool *upstream.Pool, names HeaderNames) *Sender {
	return &Sender{pool: pool, names: names}
}

// Send sends a request to a target and returns the outcome: Answered if the
// target sent a usable response, Declined if the target did not run the
// request, Unsent if no byte of the request was written, and Lost if the
// request may have arrived but no usable response was received. When ctx ends,
// pending reads and writes on the connection fail.
func (s *Sender) Send(ctx context.Context, a relay.Attempt, now time.Time) relay.Outcome {
	maxIdle := time.Duration(0)
	if a.AtMostOnce() {
		maxIdle = maxIdleForNonIdempotent
	}
	conn, err := s.pool.Get(ctx, a.Instance().Address(), a.Request().ID(), maxIdle, now)
	if err != nil {
		return relay.NewUnsent(result.Wrap(err, result.Unreachable, "connecting to target %s", a.Instance().Address()))
	}
	if took, first := conn.FirstUse(); first {
		a.Connected(took, time.Now())
	}
	conn.SetMaxIdle(a.IdleTimeout())
	x := &roundTrip{conn: conn, names: s.names, attempt: a}
	// A deadline in the past makes pending reads and writes fail.
	x.stopCancel = context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })
	if n, err := writeRequest(conn, s.names, a); err != nil {
		x.finish(false)
		overLimit := resetBeforeFirstRequest(conn, err)
		err = result.Wrap(err, result.Unreachable, "writing the request to target %s", a.Instance().Address())
		if n > 0 {
			return relay.NewLost(err).WithOverLimit(overLimit)
		}
		return relay.NewUnsent(err).WithOverLimit(overLimit)
	}
	return x.readResponse()
}

// resetBeforeFirstRequest reports whether an error is a reset or a broken pipe
// on a connection that has not completed a request yet. Targets reset new
// connections in excess of their connection limit.
func resetBeforeFirstRequest(conn *upstream.Conn, err error) bool {
	return conn.Requests() == 0 && (errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE))
}

// writeRequest writes the request and returns the number of bytes written.
func writeRequest(conn *upstream.Conn, names HeaderNames, a relay.Attempt) (int64, error) {
	head, rest := names.encodeRequest(a, time.Now())
	if rest == nil {
		n, err := conn.Write(head)
		return int64(n), err
	}
	buffers := append(net.Buffers{head}, rest...)
	return buffers.WriteTo(conn.Conn)
}

// encodeRequest returns the bytes of the request, with the path and the query
// exactly as the caller sent them. If the header and the body are longer than
// maxCopiedBytes, they are not copied and returned as rest, since a request to
// many shards is in flight to all of them at once; otherwise rest is nil. The
// headers for the request id, the deadline and the target replace headers of the
// same names from the caller, and so do those of the key and the team under a
// table with teams; replacedFields has all of them. Content-Length is set from
// the body. Requests are written without http.Transport, which could send them a
// second time.
func (n HeaderNames) encodeRequest(a relay.Attempt, now time.Time) (head []byte, rest [][]byte) {
	r := a.Request()
	encode := func(h http.Header) []byte { return encodeWithout(h, n.replacedFields(a)...) }
	var header []byte
	if a.Identity().HidesKey() {
		header = r.KeylessHeader(encode)
	} else {
		header = r.WireHeader(encode)
	}
	copied := len(header)+len(r.Body()) <= maxCopiedBytes
	size := requestLineBytes + len(r.URI())
	if copied {
		size += len(header) + len(r.Body())
	}
	out := make([]byte, 0, size)
	out = append(out, r.Method()...)
	out = append(out, ' ')
	out = append(out, r.URI()...)
	out = append(out, " HTTP/1.1\r\n"...)
	out = appendField(out, "Host", r.Host())
	out = appendField(out, n.request, r.ID())
	out = appendField(out, n.deadline, strconv.FormatInt(max(1, a.Deadline().Sub(now).Milliseconds()), 10))
	out = appendField(out, n.target, a.Instance().ID())
	if team := a.Identity().Team(); team != "" {
		out = appendField(out, n.team, team)
	}
	if r.Header().Get(acceptEncoding) != "" {
		out = appendField(out, acceptEncoding, "identity")
	}
	if len(r.Body()) > 0 || r.Method() != http.MethodGet && r.Method() != http.MethodHead {
		out = appendField(out, "Content-Length", strconv.Itoa(len(r.Body())))
	}
	if !copied {
		return out, [][]byte{header, endOfHead, r.Body()}
	}
	out = append(out, header...)
	out = append(out, endOfHead...)
	return append(out, r.Body()...), nil
}

// encodeWithout returns the fields of a header except those with the given names.
func encodeWithout(h http.Header, names ...string) []byte {
	excluded := make(map[string]bool, len(names))
	for _, name := range names {
		excluded[name] = true
	}
	var out bytes.Buffer
	// Writes to a bytes.Buffer never fail.
	_ = h.WriteSubset(&out, excluded)
	return out.Bytes()
}

// lineBreaks replaces the characters that would end a header field.
var lineBreaks = strings.NewReplacer("\r", " ", "\n", " ")

// appendField appends a header field.
func appendField(out []byte, name, value string) []byte {
	out = append(out, name...)
	out = append(out, ": "...)
	out = append(out, lineBreaks.Replace(value)...)
	return append(out, "\r\n"...)
}
