package peer

import (
	"github.com/mulberrydale/mulberrydale/core/connection/frame"
	"github.com/mulberrydale/mulberrydale/core/process/discovery"
)

func encodePresence(enc *frame.Encoder, p Presence) {
	enc.String(p.vm)
	enc.String(p.address)
	enc.String(p.dataCentre)
	enc.String(p.startID)
	enc.Uint(p.revision)
	enc.Strings(p.controlVMs)
	enc.Int(int64(p.entryVMCount))
	enc.String(p.leader)
	enc.String(p.replicaID)
	enc.Bool(p.bootstrapped)
	enc.Uint(p.listSequenceNumber)
	enc.Duration(p.listAge)
	enc.Uint(uint64(len(p.findings)))
	for _, f := range p.findings {
		enc.String(f.ID())
		enc.Bool(f.Unhealthy())
		enc.Duration(f.Age())
	}
}

func decodePresence(dec *frame.Decoder) Presence {
	p := Presence{
		vm:                 dec.String(),
		address:            dec.String(),
		dataCentre:         dec.String(),
		startID:            dec.String(),
		revision:           dec.Uint(),
		controlVMs:         dec.Strings(),
		entryVMCount:       int(dec.Int()),
		leader:             dec.String(),
		replicaID:          dec.String(),
		bootstrapped:       dec.Bool(),
		listSequenceNumber: dec.Uint(),
		listAge:            dec.Duration(),
	}
	for range dec.Len() {
		p.findings = append(p.findings, discovery.NewHealthFinding(dec.String(), dec.Bool(), dec.Duration()))
	}
	return p
}

func encodeUnchanged(enc *frame.Encoder, u Unchanged) {
	enc.Uint(u.listSequenceNumber)
	enc.Duration(u.listAge)
}

func decodeUnchanged(dec *frame.Decoder) Unchanged {
	return Unchanged{listSequenceNumber: dec.Uint(), listAge: dec.Duration()}
}

func encodeLateResponses(enc *frame.Encoder, l LateResponses) {
	enc.Uint(uint64(len(l.list)))
	for _, r := range l.list {
		enc.String(r.ID())
		enc.Duration(r.Age())
		enc.Duration(r.Interval())
	}
}

func decodeLateResponses(dec *frame.Decoder) LateResponses {
	var l LateResponses
	for range dec.Len() {
		l.list = append(l.list, discovery.NewLateResponse(dec.String(), dec.Duration(), dec.Duration()))
	}
	return l
}

func encodeTargetList(enc *frame.Encoder, t TargetList) {
	enc.Bool(t.full)
	enc.Uint(t.number)
	enc.Duration(t.age)
	enc.Uint(uint64(len(t.difference.Changed())))
	for _, i := range t.difference.Changed() {
		enc.String(i.ID())
		enc.String(i.Service())
		enc.String(i.Address())
		enc.String(i.DataCentre())
		enc.Int(int64(i.Slots()))
		enc.Bool(i.Leaving())
		enc.Duration(i.ColdFor())
	}
	enc.Strings(t.difference.Removed())
	encodeVersions(enc, t.difference.Changed())
}

func decodeTargetList(dec *frame.Decoder) TargetList {
	t := TargetList{full: dec.Bool(), number: dec.Uint(), age: dec.Duration()}
	var changed []discovery.Instance
	for range dec.Len() {
		i := discovery.NewInstance(dec.String(), dec.String(), dec.String(), dec.String(), int(dec.Int()))
		changed = append(changed, i.WithLeaving(dec.Bool()).WithColdFor(dec.Duration()))
	}
	removed := dec.Strings()
	decodeVersions(dec, changed)
	t.difference = discovery.NewDifference(changed, removed)
	return t
}

// encodeVersions appends the versions of instances to an encoded list. If none has a
// version, the encoding is that of earlier versions of the program.
func encodeVersions(enc *frame.Encoder, instances []discovery.Instance) {
	var versions []string
	known := false
	for _, i := range instances {
		versions = append(versions, i.Version())
		known = known || i.Version() != ""
	}
	if known {
		enc.Strings(versions)
	}
}

// decodeVersions adds the versions that encodeVersions has appended, which must be the
// last value.
func decodeVersions(dec *frame.Decoder, instances []discovery.Instance) {
	if !dec.More() {
		return
	}
	versions := dec.Strings()
	if len(versions) != len(instances) {
		dec.Fail("another number of versions than of instances")
		return
	}
	for n, v := range versions {
		instances[n] = instances[n].WithVersion(v)
	}
}
