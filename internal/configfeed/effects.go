package configfeed

// FollowerEffect is one thing that a Follower asks its caller to do: SendPoll, CancelPoll or Install.
type FollowerEffect interface{ followerEffect() }

// ServerEffect is one thing that a Server asks its caller to do: SendPoll, CancelPoll, AnswerPoll, AnswerProposal or
// Save.
type ServerEffect interface{ serverEffect() }

type (
	// SendPoll asks for a poll to be sent. Its answer goes to Answered, any failure to Failed, under Request. After
	// Timeout seconds the caller may give up by itself.
	SendPoll struct {
		Request uint64
		Server  ServerAddress
		Poll    Poll
		Timeout float64
	}
	// CancelPoll ends a poll whose answer is not waited for any more. Nothing needs to be reported of it.
	CancelPoll struct{ Request uint64 }
	// Install asks for a state to be put in force. The caller reports by Installed or Refuse. Changed holds the keys
	// that differ from the state in force, sorted.
	Install struct {
		State     State
		Changed   []string
		revisions []Revision // that lead there, where the follower is a server and got them
	}
	// AnswerPoll answers a poll that came by Polled. Updates of one server that agree in Kind, Version, Isolated, the
	// From of their first delta, and in whether they hold Deltas or Revisions, are equal and share their memory: the
	// caller may keep one encoded form for all of them, and must not change them.
	AnswerPoll struct {
		Request uint64
		Update  Update
	}
	// AnswerProposal answers a proposal or a new epoch.
	AnswerProposal struct {
		Request uint64
		Outcome Outcome
	}
	// Save asks for a durable write, in one transaction. State is the whole state after it. Where Revisions are
	// given, they lead from the state on disk to it, in order, and are added to the history; where there are none, the
	// state replaces the one on disk and the history stays as it is. The caller keeps the newest HistoryRevisions
	// revisions and reports by Saved. There is only one Save at a time.
	Save struct {
		ID        uint64
		State     State
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
