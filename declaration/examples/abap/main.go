// Command abap prints the configuration of Agence Bruxelloise des Activités
// Parascolaires, which handles regional registrations for after-school clubs
// in four data centres.
package main

import (
	"fmt"
	"os"
	"time"

	"github.com/mulberrydale/mulberrydale/declaration"
	"github.com/mulberrydale/mulberrydale/declaration/place"
)

const (
	region      = "bru"
	maxEntryVMs = 9
	firstPort   = 22001
	idRetention = 7 * 24 * time.Hour
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
	d := declaration.New("abap", maxEntryVMs)
	d.Note("Agence Bruxelloise des Activités Parascolaires: regional sign-ups.")
	dataCentres := []string{"bru-a", "bru-b", "bru-c", "bru-d"}
	for _, dataCentre := range dataCentres {
		d.DataCentre(dataCentre, region)
	}
	ports := place.NewPorts("127.0.0.1", firstPort, dataCentres...)
	portalLimits := declaration.NewLimits(2, 25, 6*time.Millisecond, 30)
	registerLimits := declaration.NewLimits(6, 50, time.Millisecond, 90)

	parents := ports.Services(d, "portail-parents", 10, 3, portalLimits)
	ecoles := ports.Services(d, "guichet-ecoles", 15, 3, portalLimits)
	clubs := d.Service("registre-clubs", registerLimits)
	ports.Leafs(clubs, 7)
	suivi := d.Service("suivi-coord", registerLimits)
	ports.Leafs(suivi, 4)

	d.Query("portail-parents", "Parents search for open places.", 260*time.Millisecond, parents...)
	d.Query("guichet-ecoles", "School secretaries check rosters.", 260*time.Millisecond, ecoles...)
	d.Query("registre-clubs", "Clubs and their rooms.", 300*time.Millisecond, clubs)
	d.Query("suivi-coord", "Coordinators see the children of the afternoon.", 300*time.Millisecond, suivi)
	d.NonIdempotentRequest("confirmation", "Confirms one child on one seat; never twice.", time.Second, suivi, idRetention)
	return d
}
