package main

import (
	"context"
	"fmt"
	"os"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/mulberrydale/mulberrydale/runner/scenario"
)

// runBench runs scenarios against each deployment and prints a table. It fails
// where a figure does not keep its bound.
func runBench(ctx context.Context, binaries string, files []string, only string, seed uint64, asJSON string) error {
	var rows []scenario.Measurement
	fmt.Printf("%-19s %-11s %-48s %10s %10s %13s  %s\n", "scenario", "deployment", "figure", "value", "baseline", "bound", "verdict")
	for _, file := range files {
		more, err := scenario.Run(ctx, binaries, file, strings.Split(only, ","), seed, printRows)
		rows = append(rows, more...)
		if err != nil {
			return err
		}
	}
	if asJSON != "" {
		if err := writeJSON(asJSON, rows); err != nil {
			return err
		}
	}
	failed := 0
	for _, r := range rows {
		if !r.OK() {
			failed++
		}
	}
	if failed > 0 {
		return errors.Newf("%d of %d figures do not keep their bound", failed, len(rows))
	}
	return nil
}

func printRows(rows []scenario.Measurement) {
	for _, r := range rows {
		verdict := "ok"
		if !r.OK() {
			verdict = "FAILED"
		}
		sign := "<="
		if r.AtLeast {
			sign = ">="
		}
		fmt.Printf("%-19s %-11s %-48s %10.4g %10.4g %2s %10.4g  %s\n", r.Scenario, r.Deployment, r.Figure, r.Value, r.Baseline, sign, r.Bound, verdict)
	}
}

func writeJSON(path string, rows []scenario.Measurement) error {
	out, err := os.Create(path)
	if err != nil {
		return errors.Wrap(err, "figures")
	}
	for _, r := range rows {
		fmt.Fprintln(out, r.JSON())
	}
	return errors.Wrap(out.Close(), "figures")
}
