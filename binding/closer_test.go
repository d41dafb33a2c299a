package binding

import "github.com/sirupsen/logrus"

// closer closes the socket that holds an address once the log says that the address is held.
type closer map[string]func() error

func (closer) Levels() []logrus.Level { return []logrus.Level{logrus.WarnLevel} }

func (c closer) Fire(entry *logrus.Entry) error { return c[entry.Data["address"].(string)]() }
