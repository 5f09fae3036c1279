package peer

import (
	"math"
	"time"

	"github.com/mulberrydale/mulberrydale/core/connection/frame"
	"github.com/mulberrydale/mulberrydale/core/process/discovery"
)

// slownessUnit is the resolution of a slowness on the wire.
const slownessUnit = 0.01

// TargetSlowness carries the slowness of targets: from an entry VM to a control VM of its
// data centre what has changed at targets that answered it, and from there to the entry VMs
// of the data centre that have sent such a message.
type TargetSlowness struct{ list []discovery.Slowness }

// NewTargetSlowness returns a message with the slowness of targets. On the wire, ages are in
// milliseconds and factors in hundredths.
func NewTargetSlowness(list []discovery.Slowness) TargetSlowness { return TargetSlowness{list: list} }

// List returns the slowness of the targets.
func (t TargetSlowness) List() []discovery.Slowness { return t.list }

func (TargetSlowness) message() {}

func encodeTargetSlowness(enc *frame.Encoder, t TargetSlowness) {
	enc.Uint(uint64(len(t.list)))
	for _, s := range t.list {
		enc.String(s.ID())
		enc.Uint(uint64(math.Round(s.Factor() / slownessUnit)))
		enc.Uint(uint64(max(0, s.Age().Milliseconds())))
	}
}

// decodeTargetSlowness decodes the message. An age beyond a minute counts as one.
func decodeTargetSlowness(dec *frame.Decoder) TargetSlowness {
	var t TargetSlowness
	for range dec.Len() {
		id := dec.String()
		factor := float64(dec.Uint()) * slownessUnit
		age := time.Duration(min(dec.Uint(), uint64(time.Minute.Milliseconds()))) * time.Millisecond
		t.list = append(t.list, discovery.NewSlowness(id, factor, age))
	}
	return t
}
