package quorumlog

import (
	"errors"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// first is the chooser of a schedule without surprises.
func first(int) int { return 0 }

// calm carries messages until none is left.
func (s *sim) calm() {
	for len(s.flying) > 0 {
		s.deliver(0, false)
	}
}

// opened returns a writer that serves, on a network without faults.
func (s *sim) opened() *Writer {
	s.open()
	s.calm()
	return s.writers[len(s.writers)-1].writer
}

// change replaces a member and carries the messages of it.
func (s *sim) change(w *Writer, out, in string) error {
	err := w.Replace(s.now, out, in)
	s.collect(len(s.writers) - 1)
	s.calm()
	return err
}

func TestLostMajority(t *testing.T) {
	Convey("two of three replicas that lost their storage are a lost log, not an empty one", t, func() {
		s := newSim(first, weakened{})
		w := s.opened()
		So(w.Serving(), ShouldBeTrue)
		s.append(0)
		s.calm()
		for _, member := range w.Members()[:2] {
			s.replicas[member.Name].storage = &MemoryStorage{}
			s.restart(member.Name)
		}
		So(errors.Is(s.opened().Err(), ErrLost), ShouldBeTrue)
	})
	Convey("a log that nobody knows is not created unasked, nor while too many are silent", t, func() {
		s := newSim(first, weakened{})
		for _, test := range []struct {
			create bool
			silent int
			want   error
		}{{false, 0, ErrNotFound}, {true, 2, ErrUnavailable}, {true, 1, nil}} {
			w := NewWriter(s.now, Config{Epoch: Epoch{Token: 1}, Candidates: s.names, Create: test.create, MaySilent: 1, Patience: time.Second})
			for _, message := range w.Outgoing()[test.silent:] {
				w.Step(s.now, message.To, s.replicas[message.To].replica.Step(message.Request))
			}
			w.Tick(s.now.Add(time.Second))
			So(errors.Is(w.Err(), test.want), ShouldBeTrue)
		}
	})
}

func TestCreationCutShort(t *testing.T) {
	members := []Member{{Name: "a", Incarnation: 1}, {Name: "b", Incarnation: 1}, {Name: "c", Incarnation: 1}}
	propose := Request{Op: OpPropose, Epoch: Epoch{Token: 1}, Incarnation: 1, Members: members}
	establish := Request{Op: OpEstablish, Epoch: Epoch{Token: 1}, Incarnation: 1, Members: members}

	Convey("a creation that one member never ended is given up for a new one", t, func() {
		s := newSim(first, weakened{})
		for _, name := range []string{"a", "b", "c"} {
			So(s.replicas[name].replica.Step(propose).Status, ShouldEqual, StatusOK)
		}
		So(s.replicas["a"].replica.Step(establish).Status, ShouldEqual, StatusOK)
		So(s.replicas["b"].replica.Step(establish).Status, ShouldEqual, StatusOK)
		s.token = 1
		w := s.opened()
		So(w.Serving(), ShouldBeTrue)
		So(w.snapshot.Epoch, ShouldResemble, w.config.Epoch)
	})
	Convey("a proposal that is repeated behind another one of its epoch is not established as the other", t, func() {
		replica := newSim(first, weakened{}).replicas["a"].replica
		other, end := propose, establish
		other.Members, end.Members = members[:2], members[:2]
		So(replica.Step(propose).Status, ShouldEqual, StatusOK)
		So(replica.Step(other).Status, ShouldEqual, StatusOK)
		So(replica.Step(propose).Status, ShouldEqual, StatusOK)
		So(replica.Step(end).Status, ShouldEqual, StatusMismatch)
	})
}

func TestReplace(t *testing.T) {
	Convey("a replica that was a member before is asked anew when it is added again", t, func() {
		s := newSim(first, weakened{})
		w := s.opened()
		So(s.change(w, "a", "d"), ShouldBeNil)
		So(w.Changing(), ShouldBeFalse)
		s.replicas["a"].storage = &MemoryStorage{}
		s.restart("a")
		So(s.change(w, "b", "a"), ShouldBeNil)
		So(w.Members(), ShouldContain, Member{Name: "a", Incarnation: 2})
	})
	Convey("one change at a time, of a member, to a set that is not empty", t, func() {
		s := newSim(first, weakened{})
		w := s.opened()
		So(errors.Is(w.Replace(s.now, "d", "a"), ErrNotMember), ShouldBeTrue)
		So(errors.Is(w.Replace(s.now, "a", "b"), ErrNotMember), ShouldBeTrue)
		So(w.Replace(s.now, "a", "d"), ShouldBeNil)
		So(errors.Is(w.Replace(s.now, "b", "d"), ErrBusy), ShouldBeTrue)
		w.Abandon()
		So(w.Changing(), ShouldBeFalse)
		So(s.change(w, "a", ""), ShouldBeNil)
		So(s.change(w, "b", ""), ShouldBeNil)
		So(errors.Is(s.change(w, "c", ""), ErrNotMember), ShouldBeTrue)
		So(w.Members(), ShouldHaveLength, 1)
	})
}

func TestWindow(t *testing.T) {
	Convey("appends are refused while the window is full, and taken again after a commit", t, func() {
		s := newSim(first, weakened{})
		s.opened()
		w := s.writers[0].writer
		w.config.WindowBytes = 1000
		large := make([]byte, 2000) // alone it may be larger than the window
		_, err := w.Append(s.now, large)
		So(err, ShouldBeNil)
		_, err = w.Append(s.now, large)
		So(errors.Is(err, ErrWindowFull), ShouldBeTrue)
		s.collect(0)
		s.calm()
		_, err = w.Append(s.now, large)
		So(err, ShouldBeNil)
		So(errors.Is(w.Truncate(s.now, w.Last(), nil), ErrNotCommitted), ShouldBeTrue)
	})
}
