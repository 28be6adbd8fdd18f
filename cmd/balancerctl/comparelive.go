package main

import (
	"context"
	"path/filepath"
	"strings"

	"sprucehill/internal/lab"
	"sprucehill/internal/lab/compare"
	"sprucehill/internal/lab/live"
	"sprucehill/internal/lab/measure"
	"sprucehill/internal/lab/program"
)

// liveSide runs the live engine with balancer processes of a work tree.
type liveSide struct {
	name, file, out string
	program         *program.Program
}

// newLiveSide builds the balancer of a work tree and returns a side that runs it.
func (c *compareCmd) newLiveSide(ctx context.Context, name, root, file string) (compare.Side, error) {
	p, err := program.Find(root)
	if err != nil {
		return nil, err
	}
	if err := p.Build(ctx); err != nil {
		return nil, err
	}
	out := filepath.Join(c.Out, strings.Map(safeFolderRune, name))
	return &liveSide{name: name, file: file, out: out, program: p}, nil
}

// safeFolderRune replaces a rune that is not wanted in the name of a folder.
func safeFolderRune(r rune) rune {
	if strings.ContainsRune("/: .", r) {
		return '-'
	}
	return r
}

// Name returns the command-line argument that selects the side.
func (s *liveSide) Name() string { return s.name }

// Run runs the scenario once with the given seed.
func (s *liveSide) Run(ctx context.Context, seed uint64) (*measure.Summary, error) {
	sc, err := loadWithSeed(s.file, seed)
	if err != nil {
		return nil, err
	}
	r, err := lab.RunLive(ctx, sc, live.Options{Command: s.program.Command(), Dir: s.program.Root, WorkDir: s.out})
	if err != nil {
		return nil, err
	}
	return r.Summary, nil
}
