package gateway

import "github.com/mulberrydale/mulberrydale/core/process/cluster"

// updateTokens passes the number of entry VMs to the tokens of this VM, and counts how
// requests obtained theirs.
func (e *Entry) updateTokens(vms int) {
	tokens := e.cluster.Tokens()
	if tokens == nil {
		return
	}
	tokens.SetVMs(vms)
	e.countedTokens = e.gateway.telemetry.recordTokens(tokens.Stats(), e.countedTokens)
}

// recordTokens counts what has happened since the counts before, and returns the counts
// for the next call.
func (t *Telemetry) recordTokens(stats, before cluster.TokenStats) cluster.TokenStats {
	fromStock, fromOwner, refused, unavailable, asks := stats.Counts()
	fromStock0, fromOwner0, refused0, unavailable0, asks0 := before.Counts()
	if asks == asks0 && fromStock == fromStock0 && refused == refused0 && unavailable == unavailable0 {
		return stats
	}
	t.scope.Counter("tokens.from-stock").Inc(fromStock - fromStock0)
	t.scope.Counter("tokens.from-owner").Inc(fromOwner - fromOwner0)
	t.scope.Counter("tokens.refused").Inc(refused - refused0)
	t.scope.Counter("tokens.unavailable").Inc(unavailable - unavailable0)
	t.scope.Counter("tokens.asks").Inc(asks - asks0)
	return stats
}
