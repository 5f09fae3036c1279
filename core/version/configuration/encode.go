package configuration

import (
	"fmt"
	"strings"
	"time"

	"github.com/tailscale/hujson"
)

// Notes holds the comments of an operator on the parts of a configuration.
// Encode writes each comment before its part; they have no other effect.
type Notes struct {
	texts map[string]string
}

// With returns a copy of the notes with the comment for a part. It replaces an
// earlier comment on the same part. The part is "operator", or one of
// "data-centre", "service", "query" and "request" followed by a space and the
// name, such as "service suunnittelu-01". Encode ignores comments on any other
// part.
func (n Notes) With(part, text string) Notes {
	texts := make(map[string]string, len(n.texts)+1)
	for k, v := range n.texts {
		texts[k] = v
	}
	texts[part] = text
	return Notes{texts: texts}
}

// Encode returns the configuration as JSON with comments and trailing commas in
// a canonical form: keys have a fixed order and lists keep the order declared.
// Durations are truncated to the unit of their key, milliseconds or seconds. The
// same configuration and notes always give the same bytes.
func Encode(cfg Configuration, notes Notes) []byte {
	p := &printer{notes: notes}
	p.line("{")
	p.comment("  ", "operator")
	p.line(`  "format": %d,`, Format)
	p.line(`  "operator": %s,`, quote(cfg.operator))
	p.line("  // Shares of connections and of cold capacity divide by this number.")
	p.line(`  "most-entry-vms": %d,`, cfg.maxEntryVMs)
	p.list("data-centres", len(cfg.dataCentres), func(i int) { p.dataCentre(cfg.dataCentres[i]) })
	p.list("services", len(cfg.services), func(i int) { p.service(cfg.services[i]) })
	p.list("queries", len(cfg.queries), func(i int) { p.query(cfg.queries[i]) })
	p.list("non-idempotent-requests", len(cfg.requests), func(i int) { p.request(cfg.requests[i]) })
	p.line("}")
	return []byte(p.out.String())
}

type printer struct {
	out   strings.Builder
	notes Notes
}

func (p *printer) line(format string, args ...any) {
	fmt.Fprintf(&p.out, format, args...)
	p.out.WriteByte('\n')
}

// comment prints the note on a part, if there is one, with each line after the
// given indent.
func (p *printer) comment(indent, part string) {
	text := p.notes.texts[part]
	if text == "" {
		return
	}
	for _, line := range strings.Split(text, "\n") {
		p.line("%s// %s", indent, line)
	}
}

// list writes a key and its list of n elements, calling element for each
// index.
func (p *printer) list(key string, n int, element func(int)) {
	p.line(`  %s: [`, quote(key))
	for i := range n {
		element(i)
	}
	p.line(`  ],`)
}

func (p *printer) dataCentre(dc DataCentre) {
	p.comment("    ", "data-centre "+dc.name)
	p.line(`    {"name": %s, "region": %s, "in-service": %t},`, quote(dc.name), quote(dc.region), dc.inService)
}

func (p *printer) service(s Service) {
	p.comment("    ", "service "+s.name)
	p.line(`    {`)
	p.line(`      "name": %s,`, quote(s.name))
	p.line(`      "slots-per-leaf": %d,`, s.limits.slots)
	p.line(`      "connections-per-leaf": %d,`, s.limits.connections)
	p.line(`      "connection-cost-ms": %d,`, s.limits.connectionCost/time.Millisecond)
	p.line(`      "cold-capacity-per-second": %d,`, s.limits.coldCapacityPerSecond)
	p.line(`      "warm-up-seconds": %d,`, s.limits.warmUp/time.Second)
	p.line(`      "reports-load": %t,`, s.reportsLoad)
	p.line(`      "leafs": [`)
	for _, l := range s.leafs {
		p.line(`        {"name": %s, "data-centre": %s, "address": %s},`, quote(l.name), quote(l.dataCentre), quote(l.address))
	}
	p.line(`      ],`)
	p.line(`    },`)
}

func (p *printer) query(q Query) {
	p.comment("    ", "query "+q.name)
	names := make([]string, 0, len(q.services))
	for _, s := range q.services {
		names = append(names, quote(s))
	}
	p.line(`    {"name": %s, "deadline-ms": %d, "services": [%s]},`, quote(q.name), q.deadline/time.Millisecond, strings.Join(names, ", "))
}

func (p *printer) request(r NonIdempotentRequest) {
	p.comment("    ", "request "+r.name)
	p.line(`    {"name": %s, "deadline-ms": %d, "service": %s, "keep-ids-seconds": %d},`,
		quote(r.name), r.deadline/time.Millisecond, quote(r.service), r.idRetention/time.Second)
}

func quote(s string) string {
	return string(hujson.String(s))
}
