package main

import (
	"context"

	"sprucehill/internal/lab"
	"sprucehill/internal/lab/measure"
	"sprucehill/internal/lab/model"
	"sprucehill/internal/lab/scenario"
)

// loadSeeded loads a day file with another seed.
func loadSeeded(file string, seed uint64) (*scenario.Scenario, error) {
	d, err := scenario.LoadFile(file)
	if err != nil {
		return nil, err
	}
	d.Seed = seed
	return d, nil
}

// modelSide plays the model engine in this process.
type modelSide struct{ name, file, policy string }

// Name returns the argument that the side was made from.
func (s *modelSide) Name() string { return s.name }

// Play plays the day once, by a seed.
func (s *modelSide) Play(ctx context.Context, seed uint64) (*measure.Summary, error) {
	d, err := loadSeeded(s.file, seed)
	if err != nil {
		return nil, err
	}
	r, err := lab.Model(ctx, d, model.Options{Workers: 4, Policy: s.policy})
	if err != nil {
		return nil, err
	}
	return r.Summary, nil
}
