package configfile

import (
	"errors"
	"path/filepath"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/covelink/covelink/internal/settings"
)

type inner struct {
	Wait  time.Duration `yaml:"wait" validate:"gt=0"`
	Count int           `yaml:"count"`
}

type example struct {
	Name  string  `yaml:"name" validate:"required"`
	Inner inner   `yaml:"inner"`
	Many  []inner `yaml:"many" validate:"dive"`
}

func TestDecode(t *testing.T) {
	Convey("Keys that a file leaves out keep their defaults, at every depth", t, func() {
		config := example{Inner: inner{Wait: time.Second, Count: 7}}
		So(Decode("f", []byte("name: a\ninner:\n  wait: 20ms\n"), &config), ShouldBeNil)
		So(config, ShouldResemble, example{Name: "a", Inner: inner{Wait: 20 * time.Millisecond, Count: 7}})
	})
	Convey("Each fault is one line with the file and the line or the field", t, func() {
		cases := []struct {
			content, want string
		}{
			{"name: a\nother: 1\n", "f.yaml:2"},
			{"name: a\ninner:\n  count: many\n", "f.yaml:3"},
			{"name: a\ninner:\n  wait: soon\n", "f.yaml:3"},
			{"name: [\n", "f.yaml"},
			{"inner:\n  wait: 1s\n", "name"},
			{"name: a\ninner:\n  wait: 0s\n", "inner.wait"},
			{"name: a\ninner:\n  wait: 1s\nmany:\n- wait: 1s\n- wait: -1s\n", "many[1].wait"},
		}
		for _, c := range cases {
			err := Decode("f.yaml", []byte(c.content), &example{})
			So(err, ShouldNotBeNil)
			var fault *settings.Error
			So(errors.As(err, &fault), ShouldBeTrue)
			So(err.Error(), ShouldContainSubstring, c.want)
			So(err.Error(), ShouldStartWith, "f.yaml")
			So(strings.Contains(err.Error(), "\n"), ShouldBeFalse)
		}
	})
	Convey("A file that is not there is named", t, func() {
		err := Load(filepath.Join(t.TempDir(), "missing.yaml"), &example{})
		So(err, ShouldNotBeNil)
		So(err.Error(), ShouldContainSubstring, "missing.yaml")
	})
}
