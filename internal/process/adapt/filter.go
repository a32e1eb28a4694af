package adapt

import (
	"math"
)

const (
	// maxLevels is the number of values in flight for which the time is estimated; it is
	// interpolated between them.
	maxLevels = 8
	// commonVariance is the initial variance of the time of an endpoint, as a logarithm:
	// endpoints of one pool differ in speed by up to five times.
	commonVariance = 1.0
	// shapeDeviation times the logarithm of the ratio of two numbers in flight is the
	// standard deviation of the difference of their times from the prior. It lets the
	// times grow between not at all and somewhat faster than in proportion.
	shapeDeviation = 0.8
	// commonDrift is the variance per second by which an endpoint's speed changes
	// steadily, about 15% in a second, and shapeDrift that of a difference, as a part of
	// its initial variance.
	commonDrift = 0.02
	shapeDrift  = 0.005
	// shapeTimeConstant is the time constant in seconds with which the differences above
	// the limit return to the prior without answers that show otherwise, so that an
	// endpoint is given more requests again some time after they were too many.
	shapeTimeConstant = 30.0
	// initialNoise is the variance of one answer: calls differ fourfold in work.
	// minNoise and maxNoise bound what is learned of it, with the weight noiseWeight.
	initialNoise       = 0.16
	minNoise, maxNoise = 0.005, 0.5
	noiseWeight        = 0.02
	// surpriseWeight is the weight of an answer in the moving average of normalized
	// deviations, and surpriseThreshold the average from which on the endpoint's speed is
	// taken to have changed suddenly; the variance of the average is about 0.14 without a
	// change. jumpVariance is then added to that of the speed.
	surpriseWeight    = 0.25
	surpriseThreshold = 1.3
	jumpVariance      = 0.5
	// maxDriftSeconds bounds the time for which drift is added at once.
	maxDriftSeconds = 10.0
)

// filter estimates the logarithm of the time per unit at each level, a number in flight.
type filter struct {
	slots, levels int
	mean          [maxLevels]float64
	covariance    [maxLevels][maxLevels]float64
	noise         float64
	surprise      float64
	// elapsed is the time in seconds for which no drift was added yet.
	elapsed float64
}

// reset begins anew for an endpoint with the given slots and its first answer.
func (f *filter) reset(slots int, inFlight, sample float64) {
	*f = filter{slots: slots, levels: min(slots, maxLevels), noise: initialNoise}
	variance := commonVariance
	for i := range f.levels {
		f.mean[i] = priorExponent * math.Log(f.inFlight(i))
		if i > 0 {
			variance += f.stepVariance(i)
		}
		for j := i; j < f.levels; j++ {
			f.covariance[i][j], f.covariance[j][i] = variance, variance
		}
	}
	f.shift(sample - f.at(inFlight))
}

// stepVariance returns the initial variance of the difference to the level below.
func (f *filter) stepVariance(level int) float64 {
	d := shapeDeviation * math.Log(f.inFlight(level)/f.inFlight(level-1))
	return d * d
}

// inFlight returns the number in flight of a level.
func (f *filter) inFlight(level int) float64 {
	if f.slots <= maxLevels {
		return float64(level + 1)
	}
	return 1 + float64(level)*float64(f.slots-1)/(maxLevels-1)
}

// position returns the level at or below a number in flight, the one above, and the latter's
// part.
func (f *filter) position(inFlight float64) (below, above int, part float64) {
	p := inFlight - 1
	if f.slots > maxLevels {
		p *= (maxLevels - 1) / float64(f.slots-1)
	}
	p = min(max(p, 0), float64(f.levels-1))
	below = int(p)
	return below, min(below+1, f.levels-1), p - float64(below)
}

// at returns the estimate for a number in flight.
func (f *filter) at(inFlight float64) float64 {
	i, j, part := f.position(inFlight)
	return (1-part)*f.mean[i] + part*f.mean[j]
}

// shift moves all levels.
func (f *filter) shift(distance float64) {
	for i := range f.levels {
		f.mean[i] += distance
	}
}

// update adds an answer, which took a time, as a logarithm, with a mean number in flight.
// Limit is the number in flight above which the differences return to the prior.
func (f *filter) update(inFlight, sample, elapsed float64, limit int) {
	f.elapsed += elapsed
	f.drift(limit)
	i, j, part := f.position(inFlight)
	var gain [maxLevels]float64
	for k := range f.levels {
		gain[k] = (1-part)*f.covariance[k][i] + part*f.covariance[k][j]
	}
	variance := (1-part)*gain[i] + part*gain[j]
	total := variance + f.noise
	deviation := sample - f.at(inFlight)
	f.surprise += surpriseWeight * (deviation/math.Sqrt(total) - f.surprise)
	if math.Abs(f.surprise) > surpriseThreshold {
		f.surprise = 0
		f.addCommon(jumpVariance)
		for k := range f.levels {
			gain[k] += jumpVariance
		}
		variance += jumpVariance
		total += jumpVariance
	}
	f.noise += noiseWeight * (min(deviation*deviation, 4*f.noise) - variance - f.noise)
	f.noise = min(max(f.noise, minNoise), maxNoise)
	for k := range f.levels {
		f.mean[k] += gain[k] / total * deviation
		for l := range f.levels {
			f.covariance[k][l] -= gain[k] * gain[l] / total
		}
	}
}

func (f *filter) addCommon(variance float64) {
	for k := range f.levels {
		for l := range f.levels {
			f.covariance[k][l] += variance
		}
	}
}

// drift adds the uncertainty of the time that has passed, at most some times a second.
func (f *filter) drift(limit int) {
	if f.elapsed < 0.05 {
		return
	}
	seconds := min(f.elapsed, maxDriftSeconds)
	f.elapsed = 0
	f.addCommon(commonDrift * seconds)
	variance := 0.0
	for i := 1; i < f.levels; i++ {
		variance += f.stepVariance(i) * shapeDrift * seconds
		for j := i; j < f.levels; j++ {
			f.covariance[i][j] += variance
			if j > i {
				f.covariance[j][i] += variance
			}
		}
	}
	f.revert(1-math.Exp(-seconds/shapeTimeConstant), limit)
}

// revert moves the differences between levels above the limit towards the prior, by a part
// of the distance.
func (f *filter) revert(part float64, limit int) {
	previous := f.mean[0]
	for i := 1; i < f.levels; i++ {
		difference := f.mean[i] - previous
		previous = f.mean[i]
		if f.inFlight(i) > float64(limit) {
			prior := priorExponent * math.Log(f.inFlight(i)/f.inFlight(i-1))
			f.mean[i] = f.mean[i-1] + difference + part*(prior-difference)
		}
	}
}
