package ledgerlog

// pieceBytes bounds one entry of the log, so that a large group fits the frames of the internal protocol.
const pieceBytes = 512 << 10

// The first byte of a piece says where in its group it stands.
const (
	pieceFirst = 1 << iota
	pieceLast
)

// split cuts an encoded group into pieces.
func split(group []byte) [][]byte {
	var pieces [][]byte
	for offset := 0; offset == 0 || offset < len(group); offset += pieceBytes {
		end := min(len(group), offset+pieceBytes)
		flags := byte(0)
		if offset == 0 {
			flags |= pieceFirst
		}
		if end == len(group) {
			flags |= pieceLast
		}
		pieces = append(pieces, append([]byte{flags}, group[offset:end]...))
	}
	return pieces
}

// join reverses split over a whole log. A group without its end was never committed: its owner died first.
func join(pieces [][]byte) [][]byte {
	var groups [][]byte
	var group []byte
	for _, piece := range pieces {
		if len(piece) == 0 {
			continue
		}
		if piece[0]&pieceFirst != 0 {
			group = nil
		}
		group = append(group, piece[1:]...)
		if piece[0]&pieceLast != 0 {
			groups = append(groups, group)
			group = nil
		}
	}
	return groups
}
