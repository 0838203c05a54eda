package fleet

import (
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"

	"gorseledge/internal/membership"
)

func TestIntroductionMakesAllMembersKnown(t *testing.T) {
	first, _ := startPair(t, nil)
	const count = 50
	all := testMembers(count)
	c := Config{Fleet: "lima", Address: freeAddress(t), Key: fmt.Sprintf("%x", testKey)}
	if err := Introduce(t.Context(), c, all, []string{first.Self().Address}, 0); err != nil {
		t.Fatal(err)
	}
	eventually(t, "all are known", func() bool { return len(first.View().Members) == count+2 })
}

func TestIntroductionUnderAnotherKeyIsRejected(t *testing.T) {
	first, _ := startPair(t, nil)
	all := testMembers(50)
	c := Config{Fleet: "lima", Address: freeAddress(t), Key: fmt.Sprintf("%x", "another key, as long")}
	if err := Introduce(t.Context(), c, all, []string{first.Self().Address}, 0); err != nil {
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

func TestIntroductionsFitAndNameEachMember(t *testing.T) {
	var all []membership.Member
	for i := range 100 {
		all = append(all, membership.Member{Name: fmt.Sprintf("n%04d", i), Start: 1 << 50, Address: "127.100.100.100:7000", Zone: "a",
			Build: "0123456789ab"})
	}
	named := map[string]bool{}
	for _, message := range introductions(all, 1<<50) {
		if size := proto.Size(message); size > maxMessageBytes {
			t.Errorf("%d bytes, and %d are allowed", size, maxMessageBytes)
		}
		for _, update := range message.Updates {
			named[update.Name] = true
		}
	}
	if len(named) != len(all) {
		t.Errorf("%d of %d members are named", len(named), len(all))
	}
}
