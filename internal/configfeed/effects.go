package configfeed

// FollowerEffect is an action that a Follower asks its caller to carry out: SendPoll, CancelPoll or Install.
type FollowerEffect interface{ followerEffect() }

// ServerEffect is an action that a Server asks its caller to carry out: SendPoll, CancelPoll, AnswerPoll, AnswerProposal
// or Save.
type ServerEffect interface{ serverEffect() }

type (
	// SendPoll asks the caller to send a poll. The caller reports the answer to Answered or a failure to Failed, with
	// Request.
	SendPoll struct {
		Request uint64
		Server  ServerAddress
		Poll    Poll
		Timeout float64 // seconds after which the caller may cancel the poll
	}
	// CancelPoll asks the caller to cancel a poll whose answer is no longer needed. The caller need not report a result.
	CancelPoll struct{ Request uint64 }
	// Install asks the caller to put a state in force. The caller reports the result to Installed or Refuse.
	Install struct {
		State     State
		Changed   []string   // keys whose entries differ from the state in force, sorted
		revisions []Revision // revisions that lead to State, if the follower is a server and the update had them
	}
	// AnswerPoll asks the caller to answer a poll that was passed to Polled. Two updates of one server are equal if they
	// have the same Kind, Version, Isolated and From of the first delta, and both have Deltas or both have Revisions.
	// Equal updates share memory: the caller must not modify them, and may cache one encoded form for all of them.
	AnswerPoll struct {
		Request uint64
		Update  Update
	}
	// AnswerProposal asks the caller to answer a call of Propose or BeginEpoch.
	AnswerProposal struct {
		Request uint64
		Outcome Outcome
	}
	// Save asks the caller for a durable write in one transaction. The caller keeps the newest HistoryRevisions revisions
	// and reports the result to Saved, with ID. At most one Save is in progress at a time.
	Save struct {
		ID uint64
		// State is the complete state after the write.
		State State
		// Revisions lead from the state on disk to State, in order, and are appended to the history. If there are none,
		// State replaces the state on disk and the history is left unchanged.
		Revisions []Revision
	}
)

func (SendPoll) followerEffect()   {}
func (CancelPoll) followerEffect() {}
func (Install) followerEffect()    {}

func (SendPoll) serverEffect()       {}
func (CancelPoll) serverEffect()     {}
func (AnswerPoll) serverEffect()     {}
func (AnswerProposal) serverEffect() {}
func (Save) serverEffect()           {}
