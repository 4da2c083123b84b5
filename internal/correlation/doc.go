// Package correlation decides whether an answer of a backend server belongs to the
// statement that waits for it, on protocols whose answers carry no id of their statement.
// A server may send an answer a second time, at any later moment.
//
// # What ties an answer to its statement
//
// One statement at a time is in progress on a connection, and its answer follows the
// answers to all earlier ones. What may stand between are copies of earlier answers.
//
//   - A read, a write and a commit are answered with a receipt, which no other answer has.
//     An answer whose receipt has been received before is a copy and is skipped. One
//     without a receipt is a copy of an answer that had none, and is skipped too, if there
//     was such an answer; otherwise the server breaks the protocol.
//   - The other statements have no receipt. Their answers must have the state that the
//     statement leads to, and no rows unless it returns one. One that equals an earlier
//     answer, with the log position, may be a copy. For BEGIN it is rejected: statements must
//     not be sent in a transaction that may have been refused. For others it counts, but
//     until a receipt follows, an error may be that of such a statement and is rejected.
//   - An error has no receipt. It counts if no error with the same code and text has been
//     received on the connection, and no earlier statement can have caused it. After an
//     error a connection must not be used for another transaction or statement: a copy
//     could be taken for the answer to it.
//   - Only the receipts of the last MaxAnswers answers are remembered, so a connection must
//     not be used for another transaction or statement after that many.
//
// An answer that can't be attributed is rejected; the outcome of its statement is unknown
// then, and the connection must be closed.
//
// # Usage
//
//	t := correlation.NewTracker()
//	switch verdict, basis, err := t.Judge(request, answer); verdict {
//	case correlation.Skip: // read the next answer
//	case correlation.Reject: // close the connection, see err
//	}
package correlation
