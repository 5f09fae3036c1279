package main

import (
	"context"
	"fmt"
	"os"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/mulberrydale/mulberrydale/runner/scenario"
)

// runBench runs the selected scenarios against each deployment and prints a
// table. It returns an error if a measurement is out of its bound. prefixes holds
// prefixes of scenario names, separated by commas; an empty string selects all
// scenarios. The measurements are also written to jsonFile, unless it is empty
// or a scenario returned an error.
func runBench(ctx context.Context, binaryFolder string, files []string, prefixes string, seed uint64, jsonFile string) error {
	var measurements []scenario.Measurement
	fmt.Printf("%-19s %-11s %-48s %10s %10s %13s  %s\n", "scenario", "deployment", "figure", "value", "baseline", "bound", "verdict")
	for _, file := range files {
		measured, err := scenario.Run(ctx, binaryFolder, file, strings.Split(prefixes, ","), seed, printMeasurements)
		measurements = append(measurements, measured...)
		if err != nil {
			return err
		}
	}
	if jsonFile != "" {
		if err := writeJSON(jsonFile, measurements); err != nil {
			return err
		}
	}
	failed := 0
	for _, m := range measurements {
		if !m.OK() {
			failed++
		}
	}
	if failed > 0 {
		return errors.Newf("%d of %d figures are out of bounds", failed, len(measurements))
	}
	return nil
}

// printMeasurements prints one line of the table for each measurement.
func printMeasurements(measurements []scenario.Measurement) {
	for _, m := range measurements {
		verdict := "ok"
		if !m.OK() {
			verdict = "FAILED"
		}
		relation := "<="
		if m.AtLeast {
			relation = ">="
		}
		fmt.Printf("%-19s %-11s %-48s %10.4g %10.4g %2s %10.4g  %s\n", m.Scenario, m.Deployment, m.Figure, m.Value, m.Baseline, relation, m.Bound, verdict)
	}
}

// writeJSON writes the measurements to a file, one JSON object a line.
func writeJSON(path string, measurements []scenario.Measurement) error {
	out, err := os.Create(path)
	if err != nil {
		return errors.Wrap(err, "create figures file")
	}
	for _, m := range measurements {
		fmt.Fprintln(out, m.JSON())
	}
	return errors.Wrap(out.Close(), "close figures file")
}
