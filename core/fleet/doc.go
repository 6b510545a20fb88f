// Package fleet tracks the instances of the fleet: which of them are heard, to whom an instance sends what it knows, and
// which of them act for all.
//
// In a small fleet each instance sends its state to all others. In a larger one it sends its state to those of its data
// centre only. A few instances of each data centre, the relays, sum up the states there and send the summary to a few
// instances of each other data centre, which pass it on within theirs. So what an instance sends and receives depends on the
// size of its data centre and on the number of data centres. Messages may be lost, duplicated or reordered; each states when
// the next one of its sender is due, and silence is judged by that.
package fleet
