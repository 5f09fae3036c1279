// Package exchange sends requests to targets over HTTP/1.1 and judges what comes
// back: whether a response is the whole one to its request, a refusal, or
// nothing that may be passed on. The headers beside those of HTTP are data, so
// that the tier speaks to targets of different conventions.
package exchange

import (
	"bytes"
	"context"
	"net/http"
	"strconv"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mulberrydale/mulberrydale/core/connection/upstream"
	"github.com/mulberrydale/mulberrydale/core/request/relay"
	"github.com/mulberrydale/mulberrydale/core/result"
)

// freshConnection is how long ago a connection must have been used for
// a request that may not be sent twice.
const maxIdleForNonIdempotent = time.Second

// Sender sends requests to targets.
type Sender struct {
	pool  *upstream.Pool
	names HeaderNames
}

// NewSender returns a sender over the connections of a pool.
func NewSender(pool *upstream.Pool, names HeaderNames) *Sender {
	return &Sender{pool: pool, names: names}
}

// Send sends a request to a target and judges the response.
func (s *Sender) Send(ctx context.Context, a relay.Attempt, now time.Time) relay.Outcome {
	maxIdle := time.Duration(0)
	if a.Once() {
		maxIdle = maxIdleForNonIdempotent
	}
	conn, err := s.pool.Get(ctx, a.Instance().Address(), maxIdle, now)
	if err != nil {
		return relay.NewUnsent(result.Wrap(err, result.Unreachable, "target %s", a.Instance().Address()))
	}
	conn.SetMaxIdle(a.Idle())
	x := &roundTrip{conn: conn, names: s.names, attempt: a}
	x.stopCancel = context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })
	if n, err := conn.Write(s.names.encodeRequest(a, time.Now())); err != nil {
		x.finish(false)
		overLimit := resetBeforeFirstRequest(conn, err)
		err = result.Wrap(err, result.Unreachable, "target %s", a.Instance().Address())
		if n > 0 {
			return relay.NewLost(err).OverLimit(overLimit)
		}
		return relay.NewUnsent(err).OverLimit(overLimit)
	}
	return x.readResponse()
}

// resetWhenNew reports whether an error is the reset of a connection that carried
// no request before. A target resets connections beyond those that it takes.
func resetBeforeFirstRequest(conn *upstream.Conn, err error) bool {
	return conn.Requests() == 0 && (errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE))
}

// encodeRequest writes the request for a target in one piece, with the path and
// query just as the caller wrote them. It goes to its connection by hand, so
// that nothing sends it a second time.
func (n HeaderNames) encodeRequest(a relay.Attempt, now time.Time) []byte {
	r := a.Request()
	var out bytes.Buffer
	out.WriteString(r.Method())
	out.WriteByte(' ')
	out.WriteString(r.URI())
	out.WriteString(" HTTP/1.1\r\nHost: ")
	out.WriteString(r.Host())
	out.WriteString("\r\n")
	remainingMillis := max(1, a.Deadline().Sub(now).Milliseconds())
	tierHeader := http.Header{
		n.request:  {r.ID()},
		n.deadline: {strconv.FormatInt(remainingMillis, 10)},
		n.target:   {a.Instance().ID()},
	}
	if len(r.Body()) > 0 || r.Method() != http.MethodGet && r.Method() != http.MethodHead {
		tierHeader["Content-Length"] = []string{strconv.Itoa(len(r.Body()))}
	}
	// A bytes.Buffer takes every write.
	_ = tierHeader.Write(&out)
	_ = r.Header().WriteSubset(&out, map[string]bool{n.request: true, n.deadline: true, n.target: true})
	out.WriteString("\r\n")
	out.Write(r.Body())
	return out.Bytes()
}
