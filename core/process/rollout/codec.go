package rollout

import "github.com/mulberrydale/mulberrydale/core/connection/frame"

// EncodeRecords encodes the records of all services. They are stored in snapshots of the
// log and sent to other processes.
func EncodeRecords(records []Record) []byte {
	enc := frame.NewEncoder()
	enc.Uint(uint64(len(records)))
	for _, r := range records {
		enc.String(r.service)
		enc.Strings(r.inUse)
		enc.Uint(r.order)
		enc.String(r.version)
		enc.Duration(r.duration)
		enc.Duration(r.elapsed)
		enc.Uint(uint64(r.state))
	}
	return enc.Payload()
}

// DecodeRecords decodes the records of all services. It fails with result.FrameMalformed
// on truncated or invalid input.
func DecodeRecords(payload []byte) ([]Record, error) {
	dec := frame.NewDecoder(payload)
	var out []Record
	for range dec.Len() {
		r := Record{service: dec.String(), inUse: dec.Strings(), order: dec.Uint(), version: dec.String(), duration: dec.Duration(), elapsed: dec.Duration()}
		state := dec.Uint()
		if state > uint64(RolledBack) {
			dec.Fail("unknown state of a rollout")
		}
		r.state = State(state)
		out = append(out, r)
	}
	return out, dec.Err()
}

// EncodeReport encodes a report.
func EncodeReport(enc *frame.Encoder, r Report) {
	enc.String(r.service)
	enc.Uint(r.order)
	enc.Uint(uint64(r.stage))
	enc.Uint(r.allowance)
	enc.Uint(r.requests)
	enc.Uint(r.sent)
	enc.Uint(r.running.old)
	enc.Uint(r.running.oldOverdue)
	enc.Uint(r.running.overdue)
	enc.Uint(uint64(len(r.routes)))
	for _, counts := range r.routes {
		enc.String(counts.route)
		enc.Duration(counts.before)
		encodeCounts(enc, counts.old)
		encodeCounts(enc, counts.updated)
	}
}

// DecodeReport decodes a report. On invalid input dec.Err returns the error.
func DecodeReport(dec *frame.Decoder) Report {
	r := Report{service: dec.String(), order: dec.Uint(), stage: decodeStage(dec), allowance: dec.Uint(),
		requests: dec.Uint(), sent: dec.Uint(), running: InFlight{old: dec.Uint(), oldOverdue: dec.Uint(), overdue: dec.Uint()}}
	for range dec.Len() {
		r.routes = append(r.routes, RouteCounts{route: dec.String(), before: dec.Duration(), old: decodeCounts(dec), updated: decodeCounts(dec)})
	}
	return r
}

// encodeCounts encodes counts without the buckets that are empty.
func encodeCounts(enc *frame.Encoder, c Counts) {
	enc.Uint(c.failures)
	used := 0
	for _, n := range c.times {
		if n > 0 {
			used++
		}
	}
	enc.Uint(uint64(used))
	for i, n := range c.times {
		if n > 0 {
			enc.Uint(uint64(i))
			enc.Uint(n)
		}
	}
}

func decodeCounts(dec *frame.Decoder) Counts {
	c := Counts{failures: dec.Uint()}
	for range dec.Len() {
		bucket, n := dec.Uint(), dec.Uint()
		if bucket >= timeBuckets {
			dec.Fail("unknown bucket of response times")
			return c
		}
		c.times[bucket] = n
	}
	return c
}

// EncodeGrant encodes a grant.
func EncodeGrant(enc *frame.Encoder, g Grant) {
	enc.String(g.service)
	enc.Uint(g.order)
	enc.Uint(uint64(g.stage))
	enc.Uint(g.allowance)
}

// DecodeGrant decodes a grant. On invalid input dec.Err returns the error.
func DecodeGrant(dec *frame.Decoder) Grant {
	return Grant{service: dec.String(), order: dec.Uint(), stage: decodeStage(dec), allowance: dec.Uint()}
}

// decodeStage decodes a stage of a rollout.
func decodeStage(dec *frame.Decoder) Stage {
	stage := dec.Uint()
	if stage > uint64(Closed) {
		dec.Fail("unknown stage of a rollout")
	}
	return Stage(stage)
}
