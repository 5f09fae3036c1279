// Command jakelutupa prints the configuration of Jakelutupa Oy, which searches
// newspaper delivery rounds in three data centres of northern Finland.
package main

import (
	"fmt"
	"os"
	"time"

	"github.com/mulberrydale/mulberrydale/declaration"
	"github.com/mulberrydale/mulberrydale/declaration/place"
)

const (
	region      = "pohjois-suomi"
	maxEntryVMs = 9
	firstPort   = 21001
	idRetention = 24 * time.Hour
)

func main() {
	if err := declare().Print(os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, err)
		// The exit status of mulberryctl for an invalid document; see
		// result.ClassDocument.
		os.Exit(4)
	}
}

func declare() *declaration.Declaration {
	d := declaration.New("jakelutupa", maxEntryVMs)
	d.Note("Jakelutupa Oy: round search for the northern morning edition.")
	dataCentres := []string{"oulu-1", "oulu-2", "kemi-1"}
	for _, dataCentre := range dataCentres {
		d.DataCentre(dataCentre, region)
	}
	ports := place.NewPorts("127.0.0.1", firstPort, dataCentres...)
	plannerLimits := declaration.NewLimits(2, 25, 6*time.Millisecond, 30)
	handsetLimits := declaration.NewLimits(2, 100, time.Millisecond, 30)

	suunnittelu := ports.Services(d, "suunnittelu", 10, 3, plannerLimits)
	tilaajat := ports.Services(d, "tilaajat", 15, 3, plannerLimits)
	kantaja := d.Service("kantaja-app", handsetLimits)
	ports.Leafs(kantaja, 21)
	raportointi := d.Service("raportointi", handsetLimits)
	ports.Leafs(raportointi, 10)

	d.Query("suunnittelu", "Planners look up the rounds of a route.", 260*time.Millisecond, suunnittelu...)
	d.Query("tilaajat", "Planners look up every subscriber on a route.", 260*time.Millisecond, tilaajat...)
	d.Query("kantaja-app", "Carriers check a single address.", 200*time.Millisecond, kantaja)
	d.Query("raportointi", "Reports over delivered rounds.", time.Second, raportointi)
	d.NonIdempotentRequest("uusintajakelu", "Sends one carrier out again; never two.", time.Second, kantaja, idRetention)
	return d
}
