package membershipsim

import (
	"bytes"
	"regexp"
	"testing"

	"weirwind/internal/standin/golden"
)

// The output of seeded measurements is as recorded, except for the share of a core, which depends on the machine.
func TestRecordedMeasurements(t *testing.T) {
	var cases []golden.Case[string]
	record := func(name string, measure func(out *bytes.Buffer) error) {
		var out bytes.Buffer
		if err := measure(&out); err != nil {
			t.Fatal(err)
		}
		text := regexp.MustCompile(`[0-9.]+ % of a core`).ReplaceAllString(out.String(), "* % of a core")
		cases = append(cases, golden.Of(name, text))
	}
	record(
		"losses",
		func(out *bytes.Buffer) error { return MeasureFailureDetection(out, Options{Drivers: 7, Seed: 3}, 6) },
	)
	record("heals", func(out *bytes.Buffer) error { return MeasurePartitionHealing(out, Options{Drivers: 9, Seed: 4}, 4) })
	record("losses under loss and doubles", func(out *bytes.Buffer) error {
		return MeasureFailureDetection(out, Options{Drivers: 12, Seed: 5, Loss: 0.05, Duplicate: 0.1}, 4)
	})
	record("calm", func(out *bytes.Buffer) error {
		return MeasureFalsePositives(out, Options{Drivers: 20, Seed: 6, Loss: 0.1}, 120000, 0.1)
	})
	golden.Text(t, "testdata/measurements.golden", cases)
}
