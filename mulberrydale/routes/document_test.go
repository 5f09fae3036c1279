package routes

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mulberrydale/mulberrydale/core/process/rollout"
	"github.com/mulberrydale/mulberrydale/core/result"
	"github.com/mulberrydale/mulberrydale/core/version/routing"
)

const validDocument = `{
	// Comments are allowed.
	"version": 7,
	"routes": [
		{"name": "round", "host": "rounds.example", "path": "/round/", "kind": "idempotent", "time-limit-ms": 600, "objective-ms": 100,
		 "rank": 1, "attempts": 2, "shards": ["s-1", "s-2"], "top": 20, "least-share": 0.5},
		{"name": "redelivery", "host": "rounds.example", "path": "/redelivery/", "time-limit-ms": 2000, "services": [{"name": "s-3"}]},
		{"name": "door", "host": "doors.example", "path": "/", "kind": "idempotent", "time-limit-ms": 2000,
		 "services": [{"name": "s-1", "weight": 3}, {"name": "s-3", "weight": 1.5}]},
	],
	"services": [{"name": "s-1", "connections": 25}, {"name": "s-2"}, {"name": "s-3", "cold-ms": 2500, "cold-rate": 12.5}],
	"limits": {"body-bytes": 262144, "idle-ms": 15000},
}`

func TestDecode(t *testing.T) {
	table, err := Decode([]byte(validDocument))
	assert.NilError(t, err)
	assert.Equal(t, table.Version(), uint64(7))
	sharded, _ := table.Match("rounds.example", "/round/1")
	assert.DeepEqual(t, sharded.Shards(), []string{"s-1", "s-2"})
	assert.Equal(t, sharded.Kind(), routing.Idempotent)
	assert.Equal(t, sharded.MinShards(), 1)
	assert.Equal(t, sharded.TopK(), 20)
	assert.Equal(t, sharded.LatencyObjective(), 100*time.Millisecond)
	assert.Equal(t, sharded.MaxAttempts(), 2)
	nonIdempotent, _ := table.Match("rounds.example", "/redelivery/1")
	assert.Equal(t, nonIdempotent.Kind(), routing.NonIdempotent, "a route without a kind is non-idempotent")
	split, _ := table.Match("doors.example", "/x")
	assert.Equal(t, split.Split()[1].Weight(), 1.5)
	service, _ := table.Service("s-3")
	assert.Equal(t, service.MaxColdRate(), 12.5)
	assert.Equal(t, service.WarmUp(), 2500*time.Millisecond)
	assert.Equal(t, table.Limits().BodyBytes(), int64(262144))
}

// withTeams is validDocument with teams and a public route.
var withTeams = strings.NewReplacer(`"limits": {`, `"teams": [{"name": "kami", "keys": ["secret-1", "secret-2"], "rank": 1, "rate": 48, "burst": 12.5}, {"name": "tuli", "keys": ["secret-3"]}], "limits": {`,
	`"name": "door",`, `"name": "door", "public": true,`).Replace(validDocument)

func TestDecodeTeams(t *testing.T) {
	table, err := Decode([]byte(withTeams))
	assert.NilError(t, err)
	team, ok := table.TeamOf(routing.DigestKey("secret-2"))
	assert.Assert(t, ok)
	assert.Equal(t, team.Name(), "kami")
	assert.Equal(t, team.Priority(), 1)
	assert.Equal(t, team.Rate(), 48.0)
	assert.Equal(t, team.Burst(), 12.5)
	team, _ = table.TeamOf(routing.DigestKey("secret-3"))
	assert.Assert(t, !team.HasQuota(), "a team without a rate has a limit")
	door, _ := table.Match("doors.example", "/x")
	assert.Assert(t, door.Public())
	round, _ := table.Match("rounds.example", "/round/1")
	assert.Assert(t, !round.Public())
	table, err = Decode([]byte(validDocument))
	assert.NilError(t, err)
	assert.Assert(t, !table.DeclaresTeams())
}

// A document from which the last team was taken away must not open the routes: an empty list
// of teams is not the absence of teams, and null is no list.
func TestLastTeamTakenAway(t *testing.T) {
	table, err := Decode([]byte(strings.Replace(validDocument, `"limits"`, `"teams": [], "limits"`, 1)))
	assert.NilError(t, err)
	assert.Assert(t, table.DeclaresTeams())
	_, err = Decode([]byte(strings.Replace(validDocument, `"limits"`, `"teams": null, "limits"`, 1)))
	assert.Equal(t, result.CodeOf(err), result.WrongType, "%v", err)
}

// A fault in the teams must be found, and its message, which is logged, must not show a key.
func TestDecodeRejectsInvalidTeams(t *testing.T) {
	tests := []struct {
		name     string
		from, to string
		code     result.Code
	}{
		{"a key of two teams", `"secret-3"`, `"secret-1"`, result.DuplicateName},
		{"a key twice in a team", `"secret-2"`, `"secret-1"`, result.DuplicateName},
		{"an empty key", `"secret-3"`, `""`, result.LimitOutOfRange},
		{"two teams with a name", `"tuli"`, `"kami"`, result.DuplicateName},
		{"a key in place of a list", `["secret-3"]`, `"secret-3"`, result.WrongType},
		{"a number as a key", `"secret-3"`, `5551234`, result.WrongType},
		{"a key in place of a team", `{"name": "tuli", "keys": ["secret-3"]}`, `"secret-3"`, result.WrongType},
		{"a key in place of all teams", `[{"name": "kami", "keys": ["secret-1", "secret-2"], "rank": 1, "rate": 48, "burst": 12.5}, {"name": "tuli", "keys": ["secret-3"]}]`, `"secret-3"`, result.WrongType},
		{"a key as the rank", `"rank": 1, "rate"`, `"rank": "secret-3", "rate"`, result.WrongType},
		{"a key as the rate", `"rate": 48`, `"rate": "secret-3"`, result.WrongType},
		{"a negative rate", `"rate": 48`, `"rate": -1`, result.LimitOutOfRange},
		{"an unknown key of the document", `"burst"`, `"brust"`, result.UnknownKey},
		{"no keys", `"keys": ["secret-3"]`, `"rank": 2`, result.MissingKey},
		{"a broken string", `"secret-3"`, `"secret-3\q"`, result.Syntax},
		{"an open string", `"secret-3"`, `"secret-3`, result.Syntax},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := Decode([]byte(strings.Replace(withTeams, tt.from, tt.to, 1)))
			assert.Equal(t, result.CodeOf(err), tt.code, "%v", err)
			for _, secret := range []string{"secret", "5551234"} {
				assert.Assert(t, !strings.Contains(err.Error(), secret), "%v", err)
			}
		})
	}
}

func TestDecodeRevocation(t *testing.T) {
	tests := []struct {
		name   string
		added  string
		strict bool
		within time.Duration
	}{
		{"none", ``, false, 5 * time.Second},
		{"strict", `"revocation": {"strict": true},`, true, 5 * time.Second},
		{"strict within a time", `"revocation": {"strict": true, "within-ms": 2000},`, true, 2 * time.Second},
		{"not strict", `"revocation": {"strict": false},`, false, 5 * time.Second},
	}
	for _, tt := range tests {
		s, err := DecodeSettings([]byte(strings.Replace(validSettings, `"vm"`, tt.added+`"vm"`, 1)))
		assert.NilError(t, err, tt.name)
		assert.Equal(t, s.Revocation().Strict(), tt.strict, tt.name)
		assert.Equal(t, s.Revocation().Within(), tt.within, tt.name)
	}
	for _, bad := range []string{`{"strict": 1}`, `{"within-ms": 0}`, `{"within-ms": 999}`, `{"stict": true}`, `true`} {
		_, err := DecodeSettings([]byte(strings.Replace(validSettings, `"vm"`, `"revocation": `+bad+`, "vm"`, 1)))
		assert.Assert(t, err != nil, bad)
	}
}

func TestDecodeRejectsInvalidDocuments(t *testing.T) {
	tests := []struct {
		name     string
		from, to string
		code     result.Code
	}{
		{"a truncated document", validDocument, validDocument[:200], result.Syntax},
		{"no version", `"version": 7,`, ``, result.MissingKey},
		{"an unknown key", `"rank": 1`, `"rnak": 1`, result.UnknownKey},
		{"an unknown kind", `"kind": "idempotent"`, `"kind": "often"`, result.UnknownReference},
		{"a time limit of 0", `"time-limit-ms": 600`, `"time-limit-ms": 0`, result.LimitOutOfRange},
		{"an unknown service", `["s-1", "s-2"]`, `["s-1", "s-9"]`, result.UnknownReference},
		{"a route without services", `"services": [{"name": "s-3"}]`, `"services": []`, result.MissingKey},
		{"weights of 0", `"weight": 3}, {"name": "s-3", "weight": 1.5`, `"weight": 0}, {"name": "s-3", "weight": 0`, result.LimitOutOfRange},
		{"two routes with one host and path", `"path": "/redelivery/"`, `"path": "/round/"`, result.DuplicateName},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := Decode([]byte(strings.Replace(validDocument, tt.from, tt.to, 1)))
			assert.Equal(t, result.CodeOf(err), tt.code, "%v", err)
		})
	}
}

const validSettings = `{
	"vm": "vm-1", "data-centre": "oulu-1", "first-start": true,
	"seeds": ["127.0.0.1:7001"],
	"callers-address": "127.0.0.1:8001", "readiness-address": "127.0.0.1:8002",
	"operators-address": "127.0.0.1:9001", "sessions-address": "127.0.0.1:7001", "data-folder": "/var/lib/mulberrydale",
	"targets-address": "127.0.0.1:9900", "losses": 2, "memory-limit-mb": 184, "open-files-limit": 4100,
	"further-sends": {"ratio": 0.2, "slack": 52, "window-ms": 10000},
}`

func TestDecodeSettings(t *testing.T) {
	s, err := DecodeSettings([]byte(validSettings))
	assert.NilError(t, err)
	assert.Equal(t, s.VM(), "vm-1")
	assert.Equal(t, s.CallersAddress(), "127.0.0.1:8001")
	assert.Equal(t, s.OperatorsAddress(), "127.0.0.1:9001")
	assert.Equal(t, s.Voters(), 5)
	assert.Equal(t, s.GracePeriod(), 6*time.Second)
	assert.Equal(t, s.FirstStart(), true)
	assert.Equal(t, s.MemoryBytes(), int64(184<<20))
	assert.Equal(t, s.MaxOpenFiles(), 4100)
	assert.Equal(t, s.Rollouts(), rollout.DefaultBounds())
	s, err = DecodeSettings([]byte(strings.Replace(validSettings, `"vm": "vm-1",`, `"vm": "vm-1", "rollouts": {"exposure-share": 0.2, "exposure-slack": 7, "rollback-ms": 4000},`, 1)))
	assert.NilError(t, err)
	assert.Equal(t, s.Rollouts(), rollout.NewBounds(0.2, 7, 4*time.Second, true))
}

func TestDecodeSettingsRejectsInvalidSettings(t *testing.T) {
	tests := []struct {
		name     string
		from, to string
		code     result.Code
	}{
		{"no VM name", `"vm": "vm-1",`, ``, result.MissingKey},
		{"a seed with a host name", `["127.0.0.1:7001"]`, `["vm-2:7001"]`, result.BadAddress},
		{"a control VM without a data folder", `"data-folder": "/var/lib/mulberrydale",`, ``, result.MissingKey},
		{"no address of the target list", `"targets-address": "127.0.0.1:9900",`, ``, result.MissingKey},
		{"a bound of rollouts that is unknown", `"vm": "vm-1",`, `"vm": "vm-1", "rollouts": {"share": 0.2},`, result.UnknownKey},
		{"an unknown key", `"losses"`, `"loses"`, result.UnknownKey},
		{"neither callers nor operators", validSettings, `{"vm": "a", "data-centre": "b", "seeds": [], "targets-address": "127.0.0.1:1"}`, result.MissingKey},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := DecodeSettings([]byte(strings.Replace(validSettings, tt.from, tt.to, 1)))
			assert.Equal(t, result.CodeOf(err), tt.code, "%v", err)
		})
	}
}

func TestDecodeTargetsSkipsInvalidEntries(t *testing.T) {
	good := `{"id": "i-1", "service": "s-1", "address": "127.0.0.1:80", "data-centre": "oulu-1", "slots": 2, "cold-ms": 1500, "version": "v1"}`
	deep := strings.Replace(good, `"slots": 2`, `"slots": `+strings.Repeat("[", 4<<20)+strings.Repeat("]", 4<<20), 1)
	for _, bad := range []string{`{}`, `3`, deep, strings.Replace(good, ":80", ":65536", 1), strings.Replace(good, "1500", "1e999", 1), strings.Replace(good, "oulu-1", "oulu\x01", 1), strings.Replace(good, "127.0.0.1:80", "leaf-1:80", 1), strings.Replace(good, `"slots": 2`, `"slots": "two"`, 1), strings.Replace(good, `"id": "i-1"`, `"id": "i-1", "id": "i-2"`, 1)} {
		targets, invalid, err := decodeTargets([]byte(`{"targets": [` + good + `,` + bad + `]}`))
		assert.NilError(t, err)
		assert.Equal(t, invalid, 1, bad)
		assert.Equal(t, len(targets), 1, bad)
		assert.Equal(t, targets[0].ColdFor(), 1500*time.Millisecond)
		assert.Equal(t, targets[0].Version(), "v1")
	}
	for _, text := range []string{``, `{`, `{"targets": 3}`, `{"targets": [], "targets": []}`, `{"targets": [` + good} {
		_, _, err := decodeTargets([]byte(text))
		assert.Assert(t, err != nil, text)
	}
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte(validDocument))
	f.Fuzz(func(_ *testing.T, text []byte) { _, _ = Decode(text) })
}

func ExampleDecode() {
	table, err := Decode([]byte(validDocument))
	if err != nil {
		fmt.Println(err)
		return
	}
	route, ok := table.Match("doors.example", "/x")
	fmt.Println(table.Version(), route.Name(), ok)
	// Output: 7 door true
}
