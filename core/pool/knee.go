package pool

import (
	"math"
	"time"
)

const (
	// loadBands is the number of ranges into which the loads from 1 to all slots are divided.
	loadBands = 4
	// workMemory is the time constant with which newer measurements replace older ones, and baselineMemory that of measurements at
	// lower loads, with which those at higher loads are compared.
	workMemory     = 2 * time.Second
	baselineMemory = 30 * time.Second
	// minBandWeight is the weight of measurements that a band needs to be compared with a lower one, and minBaseline that of the
	// lower one.
	minBandWeight = 2.5
	minBaseline   = 0.3
	// minDeviation is the least standard deviation of the logarithm of a measured time that is assumed, and deviationWeight the weight
	// of the newest measurement in it.
	minDeviation    = 0.25
	deviationWeight = 0.02
	// flatGrowth is the growth of the time of a request with the load, as an exponent, beyond which a load is given up. At 1, more
	// requests at once do not raise throughput.
	flatGrowth = 0.9
	// errorMargin is the number of standard errors by which a growth must exceed flatGrowth. triedMargin is that of a load that is tried
	// again, and the one by which its growth must stay below.
	errorMargin = 1.5
	triedMargin = 0.5
	// retryInterval is how long after the last measurement at a load that was given up it is tried again.
	retryInterval = 2 * time.Second
)

// band holds the weighted sums of the measurements in a range of loads.
type band struct {
	n, load, time float64 // of the load and of the logarithm of the time
	at            time.Time
}

// add records that a request took e to the power of logTime, beside others.
func (b *band) add(now time.Time, load int, logTime float64) {
	keep := b.kept(now, workMemory)
	b.n, b.load, b.time = b.n*keep+1, b.load*keep+float64(load), b.time*keep+logTime
	b.at = now
}

// kept returns the part of the weight that the measurements have kept.
func (b *band) kept(now time.Time, memory time.Duration) float64 {
	return math.Exp(-max(now.Sub(b.at).Seconds(), 0) / memory.Seconds())
}

func (b *band) weight(now time.Time, memory time.Duration) float64 { return b.n * b.kept(now, memory) }

// fresh reports whether a band is being used and has been measured often enough.
func (b *band) fresh(now time.Time) bool {
	return b.n >= minBandWeight && now.Sub(b.at) < retryInterval
}

// mean returns the mean logarithm of the time.
func (b *band) mean() float64 { return b.time / b.n }

// growth returns the exponent with which the time of a request grows with the load between two bands, less an uncertainty in the
// logarithm of one time.
func growth(lower, upper *band, uncertainty float64) float64 {
	span := math.Log(upper.load / upper.n / (lower.load / lower.n))
	if span <= 0 { // the number of slots has changed
		return 0
	}
	return (upper.mean() - lower.mean() - uncertainty*math.Sqrt(1/max(lower.n, 1)+1/max(upper.n, 1))) / span
}

// highestGrowth returns the highest growth to a band from a lower one; 0 if no lower one has been measured.
func highestGrowth(now time.Time, bands *[loadBands]band, upper int, uncertainty float64) float64 {
	highest := 0.0
	for i := range upper {
		if lower := &bands[i]; lower.weight(now, baselineMemory) >= minBaseline {
			highest = max(highest, growth(lower, &bands[upper], uncertainty))
		}
	}
	return highest
}

// bandOf returns the band of a load; ok is false beyond the slots, where the time includes a wait for one.
func bandOf(load, slots int) (i int, ok bool) {
	if load < 1 || load > slots {
		return 0, false
	}
	return (load - 1) * loadBands / slots, true
}

// bandEnd returns the highest load in a band.
func bandEnd(i, slots int) int { return ((i+1)*slots + loadBands - 1) / loadBands }

// knee is the lowest band of loads that does not raise throughput, as far as is known.
type knee struct {
	band   int  // 0 for none
	trying bool // the band was given up and is being tried again
}

// update compares the bands, in which measurements have the given standard deviation. It reports whether a band begins to be tried.
func (k *knee) update(now time.Time, bands *[loadBands]band, deviation float64) bool {
	for i := 1; i < loadBands && (k.band == 0 || i <= k.band); i++ {
		margin := errorMargin
		if k.trying && i == k.band {
			margin = triedMargin
		}
		if bands[i].fresh(now) && highestGrowth(now, bands, i, margin*deviation) > flatGrowth {
			k.band, k.trying = i, false
			return false
		}
	}
	if k.band == 0 {
		return false
	}
	b := &bands[k.band]
	switch {
	case now.Sub(b.at) >= baselineMemory: // nothing is left to compare with
		*k = knee{}
		return false
	case b.fresh(now) && highestGrowth(now, bands, k.band, -triedMargin*deviation) <= flatGrowth:
		k.band = (k.band + 1) % loadBands
	case b.fresh(now), k.trying, now.Sub(b.at) < retryInterval:
		return false
	}
	k.trying = k.band > 0
	if k.trying && !bands[k.band].fresh(now) {
		bands[k.band] = band{at: now}
	}
	return k.trying
}

// limit returns the highest load below the knee, and one more while a higher one is tried.
func (k *knee) limit(slots int) int {
	switch {
	case k.band == 0:
		return slots
	case k.trying:
		return bandEnd(k.band-1, slots) + 1
	}
	return bandEnd(k.band-1, slots)
}
