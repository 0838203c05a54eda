package fleet

import (
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"

	"gorseledge/internal/membership"
)

// Guards against introductions that receivers reject or that omit members.
func TestIntroductionMakesAllMembersKnown(t *testing.T) {
	first, _ := startPair(t, nil)
	const count = 50
	all := testMembers(count)
	c := Config{Fleet: "lima", Address: freeAddress(t), Key: fmt.Sprintf("%x", testKey)}
	if err := SeedMembers(t.Context(), c, all, []string{first.Self().Address}, 0); err != nil {
		t.Fatal(err)
	}
	eventually(t, "the first node knows all members", func() bool { return len(first.View().Members) == count+2 })
}

// Guards against introductions of a sender without the fleet's key, which could add any number of members.
func TestIntroductionUnderAnotherKeyIsRejected(t *testing.T) {
	first, _ := startPair(t, nil)
	all := testMembers(50)
	c := Config{Fleet: "lima", Address: freeAddress(t), Key: fmt.Sprintf("%x", "another key, as long")}
	if err := SeedMembers(t.Context(), c, all, []string{first.Self().Address}, 0); err != nil {
		t.Fatal(err)
	}
	rejected := func() int {
		sum := 0
		for _, count := range first.View().Rejected {
			sum += count
		}
		return sum
	}
	eventually(t, "all introductions are rejected", func() bool { return rejected() == len(introductions(all, 1)) })
	if known := len(first.View().Members); known != 2 {
		t.Fatalf("%d members are known, want 2", known)
	}
}

// Guards against introductions that are too long to be sent, or that omit members at the boundary of two messages.
func TestIntroductionsFitAndContainEachMember(t *testing.T) {
	var all []membership.Member
	for i := range 100 {
		all = append(all, membership.Member{Name: fmt.Sprintf("n%04d", i), Start: 1 << 50, Address: "127.100.100.100:7000", Zone: "a",
			Build: "0123456789ab"})
	}
	named := map[string]bool{}
	for _, message := range introductions(all, 1<<50) {
		if size := proto.Size(message); size > maxMessageBytes {
			t.Errorf("introduction must be at most %d bytes, got %d", maxMessageBytes, size)
		}
		for _, update := range message.Updates {
			named[update.Name] = true
		}
	}
	if len(named) != len(all) {
		t.Errorf("introductions contain %d of %d members", len(named), len(all))
	}
}
