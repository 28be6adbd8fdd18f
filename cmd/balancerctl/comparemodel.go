package main

import (
	"context"

	"sprucehill/internal/lab"
	"sprucehill/internal/lab/measure"
	"sprucehill/internal/lab/model"
	"sprucehill/internal/lab/scenario"
)

// loadWithSeed loads a scenario file and replaces its seed.
func loadWithSeed(file string, seed uint64) (*scenario.Scenario, error) {
	sc, err := scenario.LoadFile(file)
	if err != nil {
		return nil, err
	}
	sc.Seed = seed
	return sc, nil
}

// modelSide runs the model engine in this process.
type modelSide struct{ name, file, policy string }

// Name returns the command-line argument that selects the side.
func (s *modelSide) Name() string { return s.name }

// Run runs the scenario once with the given seed.
func (s *modelSide) Run(ctx context.Context, seed uint64) (*measure.Summary, error) {
	sc, err := loadWithSeed(s.file, seed)
	if err != nil {
		return nil, err
	}
	r, err := lab.RunModel(ctx, sc, model.Options{Workers: 4, Policy: s.policy})
	if err != nil {
		return nil, err
	}
	return r.Summary, nil
}
