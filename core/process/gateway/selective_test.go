package gateway

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mulberrydale/mulberrydale/core/process/discovery"
	"github.com/mulberrydale/mulberrydale/core/version/routing"
)

// obliging returns a function that does with the fields of a request what a sound server
// may do with them.
func obliging(header, body string) func(net.Conn, *http.Request) {
	return func(conn net.Conn, r *http.Request) {
		switch {
		case r.Header.Get("Range") != "":
			reply(206, header+fmt.Sprintf("Content-Range: bytes 0-15/%d\r\n", len(body)), body[:16])(conn, r)
		case r.Header.Get("If-None-Match") != "" || r.Header.Get("If-Modified-Since") != "":
			reply(304, header, "")(conn, r)
		case r.Header.Get("If-Match") != "" || r.Header.Get("If-Unmodified-Since") != "":
			reply(412, header, "")(conn, r)
		case r.Header.Get("Prefer") != "":
			reply(204, header, "")(conn, r)
		case strings.Contains(r.Header.Get("Accept-Encoding"), "gzip"):
			reply(200, header+"Content-Encoding: gzip\r\n", "encoded")(conn, r)
		default:
			reply(200, header, body)(conn, r)
		}
	}
}

// selectiveLines are fields of a caller's request that can make a target answer with something
// other than the plain, whole response.
var selectiveLines = []struct{ name, value string }{
	{"Range", "bytes=0-15"},
	{"If-Range", `"v1"`},
	{"If-Match", `"v1"`},
	{"If-None-Match", `"v1"`},
	{"If-Modified-Since", "Tue, 01 Dec 2026 00:00:00 GMT"},
	{"If-Unmodified-Since", "Tue, 01 Dec 2026 00:00:00 GMT"},
	{"Prefer", "return=minimal"},
	{"Accept-Encoding", "gzip, deflate"},
}

// Guards against a merged answer of parts of the shards' responses that is labelled as
// complete, and against callers that get none because of what they ask for.
func TestCallersFieldsDoNotChangeTheMergedAnswer(t *testing.T) {
	record := func(b string) string { return strings.Repeat(b, 16) }
	var instances []discovery.Instance
	for n, part := range []string{record("a") + record("e"), record("c") + record("d")} {
		l := newLeafServer(t, obliging(fmt.Sprintf("Mulberrydale-Signature: sig-%d\r\n", n), part))
		instances = append(instances, l.instance(fmt.Sprintf("i-%d", n), fmt.Sprintf("s-%d", n)))
	}
	s := newEntryServer(t, shardTable(2), instances...)
	for _, line := range selectiveLines {
		res, body := s.sendWith(t, "GET", "/x/1", "", http.Header{line.name: {line.value}})
		assert.Equal(t, res.StatusCode, 200, line.name)
		assert.Equal(t, body, record("e")+record("d")+record("c"), line.name)
		assert.Equal(t, res.Header.Get(names.Missing()), "0", line.name)
	}
}

// Guards against a part of a shard's response that is merged as a whole one, also if nobody
// has asked for a part.
func TestPartialResponseOfAShardIsNoPart(t *testing.T) {
	whole := strings.Repeat("a", 16) + strings.Repeat("b", 16)
	tests := []struct {
		name   string
		status int
		header string
	}{
		{"206", 206, "Content-Range: bytes 0-15/32\r\n"},
		{"206 without a range", 206, ""},
		{"200 with a range", 200, "Content-Range: bytes 0-15/32\r\n"},
		{"an encoding that nobody asked for", 200, "Content-Encoding: gzip\r\n"},
	}
	for _, tt := range tests {
		bad := newLeafServer(t, reply(tt.status, "Mulberrydale-Signature: sig-bad\r\n"+tt.header, whole[:16]))
		good := newLeafServer(t, reply(200, "Mulberrydale-Signature: sig-good\r\n", whole))
		s := newEntryServer(t, shardTable(1), bad.instance("i-bad", "s-0"), good.instance("i-good", "s-0"))
		for range 6 {
			res, body := s.send(t, "GET", "/x/1", "")
			assert.Equal(t, res.StatusCode, 200, tt.name)
			assert.Equal(t, res.Header.Get(names.Parts()), "sig-good", tt.name)
			assert.Equal(t, body, strings.Repeat("b", 16)+strings.Repeat("a", 16), tt.name)
		}
		s = newEntryServer(t, shardTable(1), bad.instance("i-bad", "s-0"))
		res, _ := s.send(t, "GET", "/x/1", "")
		assert.Equal(t, res.StatusCode, 502, tt.name)
	}
}

// A route with one target passes on what the target makes of a caller's fields, but asks for
// no encoding: an encoded body is not passed on, and an action would have run for nothing.
func TestOneTargetGetsTheCallersFieldsWithoutAnEncoding(t *testing.T) {
	want := map[string]int{"Range": 206, "If-None-Match": 304, "If-Modified-Since": 304, "If-Match": 412, "If-Unmodified-Since": 412, "Prefer": 204}
	l := newLeafServer(t, obliging(signatureHeader, strings.Repeat("a", 32)))
	for _, kind := range []routing.Kind{routing.Idempotent, routing.NonIdempotent} {
		s := newEntryServer(t, routeTable(kind), l.instance("i-1", "s-1"))
		for _, line := range selectiveLines {
			status, known := want[line.name]
			if !known {
				status = 200
			}
			res, _ := s.sendWith(t, "GET", "/x/1", "", http.Header{line.name: {line.value}})
			assert.Equal(t, res.StatusCode, status, line.name)
			assert.Equal(t, res.Header.Get("Content-Encoding"), "")
		}
	}
}
