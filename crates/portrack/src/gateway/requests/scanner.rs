//! Finds the ends of events in an event stream.

/// Reads an event stream byte by byte, with lines that end in LF, CR LF or CR, also mixed.
#[derive(Debug, Default)]
pub struct EventScanner {
    line: Line,
    /// The current event has a line that is not a comment.
    has_field: bool,
    /// The last byte was a CR, whose LF may follow.
    after_cr: bool,
    /// The line that this CR ends was blank.
    blank_before_cr: bool,
    /// The last CR was followed by an LF.
    uses_crlf: bool,
}

/// What has been read of a line.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
enum Line {
    #[default]
    Empty,
    Comment,
    Field,
}

impl EventScanner {
    /// Reads the next bytes. Returns the offset after the last blank line that ends among them.
    pub fn scan(&mut self, bytes: &[u8]) -> Option<usize> {
        let mut end = None;
        for (at, byte) in bytes.iter().enumerate() {
            let after_cr = std::mem::take(&mut self.after_cr);
            if after_cr && *byte == b'\n' {
                self.uses_crlf = true;
                if self.blank_before_cr {
                    end = Some(at + 1);
                }
                continue;
            }
            if after_cr {
                if self.awaits_lf() {
                    end = Some(at);
                }
                self.uses_crlf = false;
            }
            if self.read(*byte) {
                end = Some(at + 1);
            }
        }
        end
    }

    /// Whether the bytes read so far end outside of an event. In a stream with CR LF, the CR of a blank line
    /// does not end an event yet.
    pub fn is_between_events(&self) -> bool {
        let awaits_lf = self.after_cr && self.awaits_lf();
        self.line == Line::Empty && !self.has_field && !awaits_lf
    }

    fn awaits_lf(&self) -> bool {
        self.blank_before_cr && self.uses_crlf
    }

    /// Reads a byte other than the LF of a CR LF. Returns true if it ends a blank line for certain.
    fn read(&mut self, byte: u8) -> bool {
        if byte != b'\r' && byte != b'\n' {
            self.line = match (self.line, byte) {
                (Line::Empty, b':') => Line::Comment,
                (Line::Empty, _) => Line::Field,
                (line, _) => line,
            };
            return false;
        }
        let line = std::mem::take(&mut self.line);
        let is_blank = line == Line::Empty;
        self.has_field = !is_blank && (self.has_field || line == Line::Field);
        self.after_cr = byte == b'\r';
        self.blank_before_cr = is_blank && self.after_cr;
        is_blank && !(self.after_cr && self.awaits_lf())
    }
}
