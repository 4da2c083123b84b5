package schedule

// RankSpec is the scheduling configuration of a traffic rank.
type RankSpec struct {
	Name       string
	Floor      float64 // minimum share of slot time, from 0 to 1
	QueueLimit int     // maximum number of waiting requests
}
