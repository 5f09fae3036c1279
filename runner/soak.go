package main

import (
	"context"
	"os"
	"path/filepath"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mulberrydale/mulberrydale/runner/soak"
)

// runSoak runs a number of seeds one after another. A run that broke a promise
// keeps its folder with the logs of all processes.
func runSoak(ctx context.Context, binaries, folder string, seed uint64, runs int, span time.Duration) error {
	binary, err := filepath.Abs(filepath.Join(binaries, "mulberrydale"))
	if err != nil {
		return errors.Wrap(err, "binary")
	}
	root, err := filepath.Abs(folder)
	if err != nil {
		return errors.Wrap(err, "folder")
	}
	broken := 0
	for n := range uint64(runs) {
		if ctx.Err() != nil {
			return errors.Wrapf(ctx.Err(), "after %d of %d runs", n, runs)
		}
		kept, err := soakOnce(ctx, binary, root, seed+n, span)
		if err != nil {
			return err
		}
		if !kept {
			broken++
		}
	}
	if broken > 0 {
		return errors.Newf("%d of %d runs broke a promise; their logs are in %s", broken, runs, root)
	}
	return nil
}

func soakOnce(ctx context.Context, binary, root string, seed uint64, span time.Duration) (kept bool, err error) {
	r, err := soak.Start(binary, root, seed, os.Stdout)
	if err != nil {
		return false, errors.Wrapf(err, "seed %d", seed)
	}
	defer r.Close()
	if len(r.Execute(ctx, span)) > 0 {
		return false, nil
	}
	return true, r.Discard()
}
