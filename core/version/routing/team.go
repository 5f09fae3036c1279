package routing

import (
	"crypto/sha256"

	"github.com/mulberrydale/mulberrydale/core/result"
)

// KeyDigest is the digest of a key with which callers identify themselves. Only
// digests are kept, so that no log line, metric or message contains a key.
type KeyDigest [sha256.Size]byte

// DigestKey returns the digest of a key.
func DigestKey(key string) KeyDigest { return sha256.Sum256([]byte(key)) }

// DigestKeys returns the digests of keys, in the same order.
func DigestKeys(keys []string) []KeyDigest {
	var out []KeyDigest
	for _, key := range keys {
		out = append(out, DigestKey(key))
	}
	return out
}

// Team is a group of callers that share keys, a priority and a quota.
type Team struct {
	name     string
	keys     []KeyDigest
	priority int
	rate     float64
	burst    float64
}

// NewTeam returns a team with the digests of its keys. Its priority takes precedence
// over that of the route. It has no quota.
func NewTeam(name string, keys []KeyDigest, priority int) Team {
	return Team{name: name, keys: keys, priority: priority}
}

// WithQuota returns a copy of the team that may send rate requests per second, plus
// burst requests at once, over all VMs together. A rate of 0 means no limit.
func (t Team) WithQuota(rate, burst float64) Team {
	t.rate = rate
	t.burst = burst
	return t
}

// Name returns the name of the team.
func (t Team) Name() string { return t.name }

// Priority returns the priority of the team's requests; 0 is the highest.
func (t Team) Priority() int { return t.priority }

// Rate returns the number of requests per second that the team may send, 0 for no limit.
func (t Team) Rate() float64 { return t.rate }

// Burst returns the number of requests that the team may send at once beyond its rate.
func (t Team) Burst() float64 { return t.burst }

// HasQuota reports whether the number of the team's requests is limited.
func (t Team) HasQuota() bool { return t.rate > 0 }

// WithTeams returns a copy of the table that declares teams, possibly none. Requests on
// routes that are not public then need the key of a team: without a team there is no key
// that they could have.
func (t *Table) WithTeams(teams []Team) *Table {
	out := *t
	out.declaresTeams = true
	out.teams = teams
	out.teamByKey = make(map[KeyDigest]int)
	out.leastPriority = 0
	for n, team := range teams {
		out.leastPriority = max(out.leastPriority, team.priority)
		for _, key := range team.keys {
			out.teamByKey[key] = n
		}
	}
	return &out
}

// Teams returns the teams in the order in which the operator declared them.
func (t *Table) Teams() []Team { return t.teams }

// DeclaresTeams reports whether the table declares teams. The last of them may have been
// taken away; a table that does not know teams is another thing.
func (t *Table) DeclaresTeams() bool { return t.declaresTeams }

// LeastPriority returns the priority of the least urgent team, 0 without teams. It is that of
// requests on public routes without a known key, which must not go before those of a team.
func (t *Table) LeastPriority() int { return t.leastPriority }

// TeamOf returns the team that holds a key, and whether there is one.
func (t *Table) TeamOf(key KeyDigest) (Team, bool) {
	n, ok := t.teamByKey[key]
	if !ok {
		return Team{}, false
	}
	return t.teams[n], true
}

// checkTeams returns the first error in the teams, or nil. A key may be listed only once,
// because a request must belong to one team.
func (t *Table) checkTeams() error {
	names := make(map[string]bool, len(t.teams))
	owners := make(map[KeyDigest]string)
	empty := DigestKey("")
	for _, team := range t.teams {
		if names[team.name] {
			return result.New(result.DuplicateName, "two teams have the name %q", team.name)
		}
		names[team.name] = true
		if team.rate < 0 || team.burst < 0 {
			return result.New(result.LimitOutOfRange, "team %q: the rate and the burst must not be negative", team.name)
		}
		for _, key := range team.keys {
			if key == empty {
				return result.New(result.LimitOutOfRange, "team %q: a key must not be empty", team.name)
			}
			if owner, taken := owners[key]; taken {
				return result.New(result.DuplicateName, "the teams %q and %q list the same key", owner, team.name)
			}
			owners[key] = team.name
		}
	}
	return nil
}
