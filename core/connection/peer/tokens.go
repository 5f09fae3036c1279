package peer

import (
	"github.com/mulberrydale/mulberrydale/core/connection/frame"
	"github.com/mulberrydale/mulberrydale/core/process/quota"
)

// TokenRequest carries what an entry VM reports of its tokens and asks for, for all teams.
// It is sent to the leader, directly or through another control VM.
type TokenRequest struct {
	ask    quota.Ask
	holder string
}

// TokenGrant is the answer of the leader to a TokenRequest.
type TokenGrant struct {
	grant  quota.Grant
	holder string
}

func (TokenRequest) message() {}
func (TokenGrant) message()   {}

// NewTokenRequest returns the message with an ask.
func NewTokenRequest(a quota.Ask) TokenRequest { return TokenRequest{ask: a} }

// OnBehalfOf returns the request as a control VM passes it on for a holder, which is one run
// of a process.
func (t TokenRequest) OnBehalfOf(holder string) TokenRequest {
	t.holder = holder
	return t
}

// Holder returns the holder for which the request is passed on, or "" if it is that of the
// sender.
func (t TokenRequest) Holder() string { return t.holder }

// Ask returns the ask.
func (t TokenRequest) Ask() quota.Ask { return t.ask }

// NewTokenGrant returns the message with a grant.
func NewTokenGrant(g quota.Grant) TokenGrant { return TokenGrant{grant: g} }

// For returns the grant for a holder that asked through the receiver.
func (t TokenGrant) For(holder string) TokenGrant {
	t.holder = holder
	return t
}

// Holder returns the holder to which the grant is passed on, or "" if it is for the
// receiver.
func (t TokenGrant) Holder() string { return t.holder }

// Grant returns the grant.
func (t TokenGrant) Grant() quota.Grant { return t.grant }

// maxTokens bounds a decoded number of tokens or requests. No VM has as many requests.
const maxTokens = 1 << 20

func encodeTokenRequest(enc *frame.Encoder, t TokenRequest) {
	a := t.ask
	enc.String(t.holder)
	enc.Uint(a.Number())
	enc.Uint(a.Owner())
	enc.Uint(a.Received())
	enc.Uint(uint64(len(a.Teams())))
	for _, team := range a.Teams() {
		stock, returned, waiting, wanted := team.Counts()
		enc.String(team.Team())
		for _, n := range []int{stock, returned, waiting, wanted} {
			enc.Uint(uint64(n))
		}
	}
}

func decodeTokenRequest(dec *frame.Decoder) TokenRequest {
	holder := dec.String()
	number, owner, received := dec.Uint(), dec.Uint(), dec.Uint()
	var teams []quota.TeamAsk
	for range dec.Len() {
		teams = append(teams, quota.NewTeamAsk(dec.String(), decodeTokens(dec), decodeTokens(dec), decodeTokens(dec), decodeTokens(dec)))
	}
	return TokenRequest{ask: quota.NewAsk(number, owner, received, teams), holder: holder}
}

func encodeTokenGrant(enc *frame.Encoder, t TokenGrant) {
	g := t.grant
	enc.String(t.holder)
	enc.Uint(g.Owner())
	enc.Uint(g.Number())
	enc.Uint(g.Ask())
	enc.Bool(g.Reset())
	enc.Uint(uint64(len(g.Teams())))
	for _, team := range g.Teams() {
		enc.String(team.Team())
		enc.Uint(uint64(team.Immediate()))
		enc.Uint(uint64(team.Stock()))
		enc.Bool(team.Discard())
		enc.Duration(team.RetryAfter())
	}
}

func decodeTokenGrant(dec *frame.Decoder) TokenGrant {
	holder := dec.String()
	owner, number, ask, reset := dec.Uint(), dec.Uint(), dec.Uint(), dec.Bool()
	var teams []quota.TeamGrant
	for range dec.Len() {
		teams = append(teams, quota.NewTeamGrant(dec.String(), decodeTokens(dec), decodeTokens(dec), dec.Bool(), dec.Duration()))
	}
	return TokenGrant{grant: quota.NewGrant(owner, number, ask, reset, teams), holder: holder}
}

// decodeTokens decodes a number of tokens or requests.
func decodeTokens(dec *frame.Decoder) int {
	n := dec.Uint()
	if n > maxTokens {
		dec.Fail("the number of tokens is out of range")
		return 0
	}
	return int(n)
}
