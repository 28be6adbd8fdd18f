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

// liveSide plays with real processes of a work tree.
type liveSide struct {
	name, file, out string
	program         *program.Program
}

// newLiveSide builds the balancer of a work tree.
func (c *compareCmd) newLiveSide(ctx context.Context, name, root, file string) (compare.Side, error) {
	p, err := program.Find(root)
	if err != nil {
		return nil, err
	}
	if err := p.Build(ctx); err != nil {
		return nil, err
	}
	out := filepath.Join(c.Out, strings.Map(plainRune, name))
	return &liveSide{name: name, file: file, out: out, program: p}, nil
}

// plainRune replaces a rune that is not suitable for the name of a folder.
func plainRune(r rune) rune {
	if strings.ContainsRune("/: .", r) {
		return '-'
	}
	return r
}

// Name returns the argument that the side was made from.
func (s *liveSide) Name() string { return s.name }

// Play plays the day once, by a seed.
func (s *liveSide) Play(ctx context.Context, seed uint64) (*measure.Summary, error) {
	d, err := loadSeeded(s.file, seed)
	if err != nil {
		return nil, err
	}
	r, err := lab.Live(ctx, d, live.Options{Command: s.program.Command(), Dir: s.program.Root, Work: s.out})
	if err != nil {
		return nil, err
	}
	return r.Summary, nil
}
