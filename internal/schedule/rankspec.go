package schedule

// RankSpec is what a Scheduler needs to know of a traffic rank.
type RankSpec struct {
	Name       string
	Floor      float64 // share of slot time that the rank gets at least, 0 to 1
	QueueLimit int     // cycles that may wait
}
