package relay

import (
	"strings"

	"github.com/mulberrydale/mulberrydale/core/version/routing"
)

// Credential is the key with which a caller identifies itself, as a digest. The zero value
// is that of a request without a key.
type Credential struct {
	digest routing.KeyDigest
	usable bool
	fault  string
}

// The reasons for which a request has no usable key.
const (
	faultNoKey       = "the request has no key"
	faultTwoKeys     = "the key header occurs more than once"
	faultEmptyKey    = "the key header is empty"
	faultListOfKeys  = "the key header holds a list"
	faultSpacesInKey = "the key header holds spaces or control characters"
)

// ReadCredential returns the credential in the values of the key header. The header holds
// exactly one key, without commas, spaces and control characters. In any other case the
// request is treated like one with a key that no team holds.
func ReadCredential(values []string) Credential {
	switch {
	case len(values) == 0:
		return Credential{}
	case len(values) > 1:
		return Credential{fault: faultTwoKeys}
	case values[0] == "":
		return Credential{fault: faultEmptyKey}
	case strings.Contains(values[0], ","):
		return Credential{fault: faultListOfKeys}
	case strings.ContainsFunc(values[0], isSpaceOrControl):
		return Credential{fault: faultSpacesInKey}
	}
	return Credential{digest: routing.DigestKey(values[0]), usable: true}
}

func isSpaceOrControl(r rune) bool { return r <= ' ' || r == 0x7f }

// Digest returns the digest of the key, and false if the request has no usable key.
func (c Credential) Digest() (routing.KeyDigest, bool) { return c.digest, c.usable }

// Fault returns why the request has no usable key, empty if it has one.
func (c Credential) Fault() string {
	if !c.usable && c.fault == "" {
		return faultNoKey
	}
	return c.fault
}

// Identity is what a target learns about the team of a request.
type Identity struct {
	hidesKey bool
	team     string
}

// NewIdentity returns the identity of a request under a table with teams: targets get the
// name of the team, none if it is empty, in place of what the caller sent. With the zero
// value they get the caller's header as it is.
func NewIdentity(team string) Identity { return Identity{hidesKey: true, team: team} }

// HidesKey reports whether the headers of the key and the team that the caller sent are not
// passed on.
func (i Identity) HidesKey() bool { return i.hidesKey }

// Team returns the name of the team to pass on, empty for none.
func (i Identity) Team() string { return i.team }
