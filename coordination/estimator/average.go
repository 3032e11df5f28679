package estimator

// Average is a moving average of a quantity. The zero value has no samples.
type Average struct {
	// Samples is the number of samples. A lower number makes the next ones count more.
	Samples uint64
	// Mean is the average, and Deviation that of the distances from it.
	Mean, Deviation float64
}

// deviationFactor is the weight of a sample in the deviation as a multiple of its weight
// in the mean, so that the deviation follows a change at once.
const deviationFactor = 2

// Add adds a sample with the given weight, 0 to 1. The first samples have equal weights.
func (a *Average) Add(sample, weight float64) {
	a.Samples++
	if a.Samples == 1 {
		a.Mean, a.Deviation = sample, sample/2
		return
	}
	equal := 1 / float64(a.Samples)
	distance := sample - a.Mean
	a.Mean += max(weight, equal) * distance
	a.Deviation += max(deviationFactor*weight, equal) * (max(distance, -distance) - a.Deviation)
}
