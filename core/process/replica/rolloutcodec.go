package replica

import (
	"github.com/mulberrydale/mulberrydale/core/connection/frame"
	"github.com/mulberrydale/mulberrydale/core/process/rollout"
	"github.com/mulberrydale/mulberrydale/core/result"
)

// encodeRolloutCommand encodes a command that concerns versions in use or rollouts.
func encodeRolloutCommand(enc *frame.Encoder, c Command) {
	switch c := c.(type) {
	case RecordVersions:
		enc.Uint(wireRecordVersions)
		enc.Time(c.appendedAt)
		enc.Uint(uint64(len(c.services)))
		for _, v := range c.services {
			enc.String(v.service)
			enc.Strings(v.versions)
		}
	case StartRollout:
		enc.Uint(wireStartRollout)
		enc.String(c.service)
		enc.String(c.version)
		enc.Duration(c.duration)
		enc.Strings(c.listed)
		enc.Bool(c.renewed)
		enc.Time(c.appendedAt)
	case EndRollout:
		enc.Uint(wireEndRollout)
		enc.String(c.service)
		enc.Uint(c.order)
		enc.Bool(c.succeeded)
		enc.String(c.reason)
		enc.Time(c.appendedAt)
	case StateElapsed:
		enc.Uint(wireStateElapsed)
		enc.String(c.service)
		enc.Uint(c.order)
		enc.Duration(c.elapsed)
	}
}

func decodeRecordVersions(dec *frame.Decoder) RecordVersions {
	c := RecordVersions{appendedAt: dec.Time()}
	for range dec.Len() {
		c.services = append(c.services, ServiceVersions{service: dec.String(), versions: dec.Strings()})
	}
	return c
}

func decodeStartRollout(dec *frame.Decoder) StartRollout {
	return StartRollout{service: dec.String(), version: dec.String(), duration: dec.Duration(), listed: dec.Strings(), renewed: dec.Bool(), appendedAt: dec.Time()}
}

func decodeEndRollout(dec *frame.Decoder) EndRollout {
	return EndRollout{service: dec.String(), order: dec.Uint(), succeeded: dec.Bool(), reason: dec.String(), appendedAt: dec.Time()}
}

func decodeStateElapsed(dec *frame.Decoder) StateElapsed {
	return StateElapsed{service: dec.String(), order: dec.Uint(), elapsed: dec.Duration()}
}

func decodeRolloutOutcome(dec *frame.Decoder) RolloutOutcome {
	return RolloutOutcome{code: result.Code(dec.Int()), revision: dec.Uint()}
}

// encodeRollouts appends the versions in use and the rollouts to encoded routes. Without
// any, the encoding is that of versions of the program that knew none.
func encodeRollouts(enc *frame.Encoder, records []rollout.Record) {
	if len(records) > 0 {
		enc.Bytes(rollout.EncodeRecords(records))
	}
}

// decodeRollouts decodes what encodeRollouts has appended, which must be the last value.
func decodeRollouts(dec *frame.Decoder) []rollout.Record {
	if !dec.More() {
		return nil
	}
	records, err := rollout.DecodeRecords(dec.Bytes())
	if err != nil {
		dec.Fail(err.Error())
	}
	return records
}
