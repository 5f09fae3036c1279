package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
	"gotest.tools/v3/assert"

	"github.com/mulberrydale/mulberrydale/core/process/bootclock"
	"github.com/mulberrydale/mulberrydale/core/process/confirmation"
	"github.com/mulberrydale/mulberrydale/core/process/replica"
	"github.com/mulberrydale/mulberrydale/core/version/routing"
)

// teamsTable returns a table with the route /x/, which needs a key, the public route /open/
// and one team with one key.
func teamsTable() *routing.Table {
	split := []routing.WeightedService{routing.NewWeightedService("s-1", 1)}
	return routing.NewTable(1, []routing.Route{
		routing.NewRoute("r", "a.example", "/x/").WithTimeoutAndObjective(700*time.Millisecond, 200*time.Millisecond).WithSplit(split),
		routing.NewRoute("o", "a.example", "/open/").WithTimeoutAndObjective(700*time.Millisecond, 200*time.Millisecond).WithSplit(split).WithPublic(true),
	}, []routing.Service{routing.NewService("s-1", "").WithMaxConnections(50)}, routing.Limits{}).
		WithTeams([]routing.Team{routing.NewTeam("kami", []routing.KeyDigest{routing.DigestKey("secret-1")}, 0)})
}

// confirm confirms the routes of an entry server from now on.
func (s *entryServer) confirm() {
	s.entry.confirmation.PutInForce(1, true)
	s.entry.confirmation.AddProof(confirmation.NewProof(1, bootclock.Now()))
}

// sendRaw sends a request with the given header lines as they are, and returns the status and
// Retry-After.
func (s *entryServer) sendRaw(t *testing.T, path, lines string) (int, string) {
	t.Helper()
	conn, err := net.Dial("tcp", strings.TrimPrefix(s.server.URL, "http://"))
	assert.NilError(t, err)
	defer conn.Close()
	_, err = fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: a.example\r\nConnection: close\r\n%s\r\n", path, lines)
	assert.NilError(t, err)
	text, err := io.ReadAll(conn)
	assert.NilError(t, err)
	head, _, _ := strings.Cut(string(text), "\r\n\r\n")
	status, err := strconv.Atoi(strings.Fields(head)[1])
	assert.NilError(t, err)
	retryAfter := ""
	for _, line := range strings.Split(head, "\r\n") {
		if value, ok := strings.CutPrefix(line, "Retry-After: "); ok {
			retryAfter = value
		}
	}
	return status, retryAfter
}

// The headers of the key and of the team.
const keyName, teamName = "Mulberrydale-Key", "Mulberrydale-Team"

// keyHeaderTests are the header lines of requests. known is set if they hold the key of the
// team.
var keyHeaderTests = []struct {
	name  string
	lines string
	known bool
}{
	{"known", keyName + ": secret-1\r\n", true},
	{"known, in lower case", "mulberrydale-key: secret-1\r\n", true},
	{"known, with space around it", keyName + ": \t secret-1 \t\r\n", true},
	{"known, with a team that the caller claims", keyName + ": secret-1\r\n" + teamName + ": other\r\n" + teamName + ": third\r\n", true},
	{"unknown", keyName + ": secret-2\r\n", false},
	{"known in another case", keyName + ": Secret-1\r\n", false},
	{"absent", "", false},
	{"absent, with a team that the caller claims", teamName + ": kami\r\n", false},
	{"empty", keyName + ":\r\n", false},
	{"only space", keyName + ":   \r\n", false},
	{"twice the same", keyName + ": secret-1\r\n" + keyName + ": secret-1\r\n", false},
	{"twice, in other cases", keyName + ": secret-1\r\nmulberrydale-key: secret-2\r\n", false},
	{"twice, one empty", keyName + ": secret-1\r\n" + keyName + ":\r\n", false},
	{"a list", keyName + ": secret-1, secret-1\r\n", false},
	{"a list with an empty element", keyName + ": secret-1,\r\n", false},
	{"space inside", keyName + ": secret-1 x\r\n", false},
	{"a tab inside", keyName + ": secret-1\tx\r\n", false},
	{"in quotes", keyName + ": \"secret-1\"\r\n", false},
	{"with a scheme", keyName + ": Bearer secret-1\r\n", false},
	{"named in Connection", "Connection: mulberrydale-key\r\n" + keyName + ": secret-1\r\n", true},
}

// Every form of the key header but a single key must be treated like an unknown key, and on a
// public route like none. No target may see what the caller sent in the headers of the key and
// of the team.
func TestKeyHeader(t *testing.T) {
	l := newLeafServer(t, reply(200, signatureHeader, "ok"))
	s := newEntryServer(t, teamsTable(), l.instance("i-1", "s-1"))
	s.entry.SetStrictRevocation(true)
	for _, tt := range keyHeaderTests {
		t.Run(tt.name, func(t *testing.T) {
			s.confirm()
			wantStatus, wantTeams := 401, []string(nil)
			if tt.known {
				wantStatus, wantTeams = 200, []string{"kami"}
			}
			before := len(l.requests())
			status, _ := s.sendRaw(t, "/x/1", tt.lines)
			assert.Equal(t, status, wantStatus)
			status, _ = s.sendRaw(t, "/open/1", tt.lines)
			assert.Equal(t, status, 200)
			received := l.requests()[before:]
			assert.Equal(t, len(received), map[bool]int{true: 2, false: 1}[tt.known])
			for _, r := range received {
				assert.DeepEqual(t, r.Header.Values(keyName), []string(nil))
				assert.DeepEqual(t, r.Header.Values(teamName), wantTeams)
			}
		})
	}
}

// Without teams both headers must reach the target as the caller sent them.
func TestTablesWithoutTeamsForwardBothHeaders(t *testing.T) {
	l := newLeafServer(t, reply(200, signatureHeader, "ok"))
	s := newEntryServer(t, routeTable(routing.NonIdempotent), l.instance("i-1", "s-1"))
	status, _ := s.sendRaw(t, "/x/1", "Mulberrydale-Key: a, b\r\nMulberrydale-Key:\r\nMulberrydale-Team: c\r\n")
	assert.Equal(t, status, 200)
	assert.DeepEqual(t, l.requests()[0].Header.Values("Mulberrydale-Key"), []string{"a, b", ""})
	assert.DeepEqual(t, l.requests()[0].Header.Values("Mulberrydale-Team"), []string{"c"})
}

// A VM that does not know whether its routes are the newest must neither run a request with a
// key nor refuse one for good, and must tell when to come back. A VM without routes answers
// everything in this way.
func TestUnconfirmedVMRefusesForATime(t *testing.T) {
	l := newLeafServer(t, reply(200, signatureHeader, "ok"))
	s := newEntryServer(t, teamsTable(), l.instance("i-1", "s-1"))
	s.entry.SetStrictRevocation(true)
	refused := func(path, lines string) {
		t.Helper()
		status, retryAfter := s.sendRaw(t, path, lines)
		assert.Equal(t, status, 503)
		wait, err := strconv.ParseFloat(retryAfter, 64)
		assert.NilError(t, err)
		assert.Assert(t, wait > 0 && wait < 5, "%v", wait)
	}
	for _, lines := range []string{"", "Mulberrydale-Key: secret-1\r\n", "Mulberrydale-Key: x\r\n"} {
		refused("/x/1", lines)
	}
	status, _ := s.sendRaw(t, "/open/1", "")
	assert.Equal(t, status, 200)
	assert.Equal(t, len(l.requests()), 1)
	s.confirm()
	status, _ = s.sendRaw(t, "/x/1", "Mulberrydale-Key: secret-1\r\n")
	assert.Equal(t, status, 200)
	s.entry.confirmation.SetWithin(time.Nanosecond)
	refused("/x/1", "Mulberrydale-Key: secret-1\r\n")
	s.entry.SetStrictRevocation(false)
	status, _ = s.sendRaw(t, "/x/1", "Mulberrydale-Key: secret-1\r\n")
	assert.Equal(t, status, 200, "without strict revocation a known key needs no confirmation")
	refused("/x/1", "Mulberrydale-Key: x\r\n")

	s = newEntryServer(t, nil)
	refused("/x/1", "Mulberrydale-Key: secret-1\r\n")
	refused("/nowhere", "")
	res, err := http.Post(s.server.URL+"/x/1", "", strings.NewReader(strings.Repeat("x", defaultMaxBodyBytes+1)))
	assert.NilError(t, err)
	defer res.Body.Close()
	assert.Equal(t, res.StatusCode, 503)
}

// Routes that can't be decoded are not in force, so a proof for them must not confirm the ones
// before.
func TestRoutesThatCannotBeDecodedAreNotConfirmed(t *testing.T) {
	e := newTestEntry(NewTelemetry(zap.NewNop()), 50)
	e.decodeRoutes = func(document []byte) (*routing.Table, error) {
		if string(document) != "good" {
			return nil, fmt.Errorf("unreadable")
		}
		return teamsTable(), nil
	}
	e.RoutesChanged(replica.NewRoutes(1, 1, []byte("good"), nil), time.Now())
	e.confirmation.AddProof(confirmation.NewProof(1, bootclock.Now()))
	assert.Assert(t, e.confirmation.Confirmed(bootclock.Now()))
	e.RoutesChanged(replica.NewRoutes(2, 2, []byte("bad"), nil), time.Now())
	e.RoutesChanged(replica.NewRoutes(3, 2, []byte("bad"), []string{"dc-9"}), time.Now())
	later := bootclock.Now().Add(time.Second)
	e.confirmation.AddProof(confirmation.NewProof(3, later))
	assert.Assert(t, !e.confirmation.Confirmed(later.Add(4*time.Second)))
	assert.Assert(t, !e.confirmation.Certain(bootclock.Now()))
	assert.Equal(t, e.confirmation.Status(later).InForce(), uint64(1))
}

// The log must lead from the id of a refused request to the reason, and never show a key or
// its digest.
func TestRefusalsAreLoggedWithoutKeys(t *testing.T) {
	core, logs := observer.New(zap.InfoLevel)
	telemetry := NewTelemetry(zap.New(core))
	e := newTestEntry(telemetry, 50)
	e.log = zap.New(core)
	e.dispatcher.SetTable(teamsTable())
	e.SetStrictRevocation(true)
	s := &entryServer{entry: e}
	s.serve(t)
	secrets := []string{"secret-1", "secret-9", fmt.Sprintf("%x", routing.DigestKey("secret-9")), fmt.Sprintf("%x", routing.DigestKey("secret-1"))}
	s.sendRaw(t, "/x/1", "Mulberrydale-Request: id-1\r\nMulberrydale-Key: secret-1\r\n")
	s.confirm()
	e.watchConfirmation(bootclock.Now())
	s.sendRaw(t, "/x/1", "Mulberrydale-Request: id-2\r\nMulberrydale-Key: secret-9\r\n")
	s.sendRaw(t, "/x/1", "Mulberrydale-Request: id-3\r\nMulberrydale-Key: secret-9, secret-1\r\n")
	e.confirmation.SetWithin(0)
	e.watchConfirmation(bootclock.Now())
	outcomes := make(map[string]string)
	var text []string
	for _, entry := range logs.All() {
		fields := entry.ContextMap()
		text = append(text, fmt.Sprint(entry.Message, fields))
		if entry.Message == "request" {
			outcomes[fields["id"].(string)] = fmt.Sprint(fields["outcome"], ": ", fields["reason"])
		}
	}
	assert.DeepEqual(t, outcomes, map[string]string{
		"id-1": "unconfirmed: this VM does not know whether its routes are the newest",
		"id-2": "unknown-team: no team holds the key",
		"id-3": "unknown-team: the key header holds a list",
	})
	lines := strings.Join(text, "\n")
	assert.Assert(t, strings.Contains(lines, "routes confirmed") && strings.Contains(lines, "routes no longer confirmed"), lines)
	for _, secret := range secrets {
		assert.Assert(t, !strings.Contains(lines, secret), lines)
	}
	counters := telemetry.scope.Snapshot().Counters()
	for _, name := range []string{"answers.unknown-team", "answers.unconfirmed", "confirmation.lost", "confirmation.regained"} {
		assert.Assert(t, counters["mulberrydale."+name+"+"] != nil, name)
	}
}
