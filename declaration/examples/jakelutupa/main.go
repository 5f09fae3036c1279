// Command jakelutupa prints the configuration of Jakelutupa Oy: round search
// for newspaper delivery in three data centres of northern Finland.
package main

import (
	"fmt"
	"os"
	"time"

	"github.com/mulberrydale/mulberrydale/declaration"
	"github.com/mulberrydale/mulberrydale/declaration/place"
)

const (
	region       = "pohjois-suomi"
	mostEntryVMs = 9
	firstPort    = 21001
	keepIDs      = 24 * time.Hour
)

func main() {
	if err := declare().Print(os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(4)
	}
}

func declare() *declaration.Declaration {
	d := declaration.New("jakelutupa", mostEntryVMs)
	d.Note("Jakelutupa Oy: round search for the northern morning edition.")
	centres := []string{"oulu-1", "oulu-2", "kemi-1"}
	for _, centre := range centres {
		d.DataCentre(centre, region)
	}
	ports := place.NewPorts("127.0.0.1", firstPort, centres...)
	planners := declaration.NewLimits(2, 25, 6*time.Millisecond, 30)
	handsets := declaration.NewLimits(2, 100, time.Millisecond, 30)

	suunnittelu := ports.Services(d, "suunnittelu", 10, 3, planners)
	tilaajat := ports.Services(d, "tilaajat", 15, 3, planners)
	kantaja := d.Service("kantaja-app", handsets)
	ports.Leafs(kantaja, 21)
	raportointi := d.Service("raportointi", handsets)
	ports.Leafs(raportointi, 10)

	d.Query("suunnittelu", "Planners look up the rounds of a route.", 260*time.Millisecond, suunnittelu...)
	d.Query("tilaajat", "Planners look up every subscriber on a route.", 260*time.Millisecond, tilaajat...)
	d.Query("kantaja-app", "Carriers check a single address.", 200*time.Millisecond, kantaja)
	d.Query("raportointi", "Reports over delivered rounds.", time.Second, raportointi)
	d.NonIdempotentRequest("uusintajakelu", "Sends one carrier out again; never two.", time.Second, kantaja, keepIDs)
	return d
}
