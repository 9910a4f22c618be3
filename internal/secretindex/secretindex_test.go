package secretindex

import (
	"fmt"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestIndex(t *testing.T) {
	Convey("A secret is found by itself, and not by its hash", t, func() {
		index := New[string]()
		index.Put(HashOf("secret"), "holder")
		value, found := index.Find("secret")
		So(found, ShouldBeTrue)
		So(value, ShouldEqual, "holder")
		hash := HashOf("secret")
		for _, guess := range []string{"", "Secret", "secret ", string(hash[:]), fmt.Sprintf("%x", hash)} {
			_, found = index.Find(guess)
			So(found, ShouldBeFalse)
		}
	})
	Convey("The empty secret stands for nothing, even if its hash is held", t, func() {
		index := New[string]()
		index.Put(HashOf(""), "holder")
		_, found := index.Find("")
		So(found, ShouldBeFalse)
	})
	Convey("A hash is read in either case, and anything else is refused without being repeated", t, func() {
		digits := fmt.Sprintf("%x", HashOf("secret"))
		for _, written := range []string{digits, strings.ToUpper(digits)} {
			hash, err := ParseHash(written)
			So(err, ShouldBeNil)
			So(hash, ShouldEqual, HashOf("secret"))
		}
		for _, written := range []string{"", "secret", digits[:10], digits + "00"} {
			_, err := ParseHash(written)
			So(err, ShouldNotBeNil)
			if written != "" {
				So(err.Error(), ShouldNotContainSubstring, "secret"+written)
			}
		}
		So(HashOf("secret").Short(), ShouldEqual, digits[:shortHashDigits])
	})
}

func BenchmarkFind(b *testing.B) {
	for _, count := range []int{10, 10_000} {
		b.Run(fmt.Sprintf("secrets=%d", count), func(b *testing.B) {
			index := New[int]()
			for i := range count {
				index.Put(HashOf(fmt.Sprint("secret-", i)), i)
			}
			for b.Loop() {
				index.Find("secret-7")
			}
		})
	}
}
