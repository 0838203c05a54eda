package configfeed

// FollowerEffect is an action that a Follower asks its caller for: SendPoll, CancelPoll or Install.
type FollowerEffect interface{ followerEffect() }

// ServerEffect is an action that a Server asks its caller for: SendPoll, CancelPoll, AnswerPoll, AnswerProposal or Save.
type ServerEffect interface{ serverEffect() }

type (
	// SendPoll asks for a poll to be sent. Its answer is reported to Answered, any failure to Failed, with Request.
	SendPoll struct {
		Request uint64
		Server  ServerAddress
		Poll    Poll
		Timeout float64 // seconds after which the caller may give up by itself
	}
	// CancelPoll ends a poll whose answer is not awaited any more. Nothing needs to be reported of it.
	CancelPoll struct{ Request uint64 }
	// Install asks for a state to be put in force. The caller reports the result to Installed or Refuse.
	Install struct {
		State     State
		Changed   []string   // keys that differ from the state in force, sorted
		revisions []Revision // that lead to State, where the follower is a server and was sent them
	}
	// AnswerPoll answers a poll that Polled took. Updates of one server that agree in Kind, Version, Isolated, the From
	// of their first delta, and in whether they hold Deltas or Revisions, are equal and share their memory: the caller
	// may cache one encoded form for all of them, and must not change them.
	AnswerPoll struct {
		Request uint64
		Update  Update
	}
	// AnswerProposal answers a proposal or a new epoch.
	AnswerProposal struct {
		Request uint64
		Outcome Outcome
	}
	// Save asks for a durable write, in one transaction. The caller keeps the newest HistoryRevisions revisions and
	// reports the result to Saved, with ID. There is only one Save at a time.
	Save struct {
		ID uint64
		// State is the complete state after the write.
		State State
		// Revisions lead from the state on disk to State, in order, and are added to the history. Without any, State
		// replaces the state on disk and the history stays as it is.
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
