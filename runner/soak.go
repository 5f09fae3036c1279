package main

import (
	"context"
	"os"
	"path/filepath"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mulberrydale/mulberrydale/runner/soak"
)

// runSoak runs one seed after another. A run that violated a guarantee keeps
// its folder with the logs of all processes.
func runSoak(ctx context.Context, binaryFolder, folder string, seed uint64, runs int, duration time.Duration) error {
	binary, err := filepath.Abs(filepath.Join(binaryFolder, "mulberrydale"))
	if err != nil {
		return errors.Wrap(err, "determine the absolute path of the binary")
	}
	root, err := filepath.Abs(folder)
	if err != nil {
		return errors.Wrap(err, "determine the absolute path of the folder")
	}
	failed := 0
	for n := range uint64(runs) {
		if ctx.Err() != nil {
			return errors.Wrapf(ctx.Err(), "interrupted after %d of %d runs", n, runs)
		}
		passed, err := runSeed(ctx, binary, root, seed+n, duration)
		if err != nil {
			return err
		}
		if !passed {
			failed++
		}
	}
	if failed > 0 {
		return errors.Newf("%d of %d runs violated a guarantee; their logs are in %s", failed, runs, root)
	}
	return nil
}

// runSeed runs one seed and reports whether all guarantees held. The folder of
// a passed run is removed. It returns an error if the run can't start or the
// folder can't be removed.
func runSeed(ctx context.Context, binary, root string, seed uint64, duration time.Duration) (passed bool, err error) {
	r, err := soak.Start(binary, root, seed, os.Stdout)
	if err != nil {
		return false, errors.Wrapf(err, "start the run of seed %d", seed)
	}
	defer r.Close()
	if len(r.Execute(ctx, duration)) > 0 {
		return false, nil
	}
	return true, r.Discard()
}
