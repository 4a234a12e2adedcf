//! A small JSON reader and writer. Numbers keep their text, so that 64-bit integers survive.

use std::fmt;

#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Num(String),
    Str(String),
    Arr(Vec<Json>),
    Obj(Vec<(String, Json)>),
}

static NULL: Json = Json::Null;

impl Json {
    pub fn parse(text: &str) -> Option<Json> {
        let mut p = Parser {
            b: text.as_bytes(),
            i: 0,
        };
        let v = p.value()?;
        p.space();
        (p.i == p.b.len()).then_some(v)
    }
    pub fn get(&self, key: &str) -> &Json {
        match self {
            Json::Obj(o) => o.iter().find(|(k, _)| k == key).map_or(&NULL, |(_, v)| v),
            _ => &NULL,
        }
    }
    pub fn str(&self) -> &str {
        match self {
            Json::Str(s) => s,
            _ => "",
        }
    }
    pub fn is_null(&self) -> bool {
        *self == Json::Null
    }
    pub fn u64(&self) -> Option<u64> {
        match self {
            Json::Num(n) => n.parse().ok(),
            _ => None,
        }
    }
    pub fn f64(&self) -> f64 {
        match self {
            Json::Num(n) => n.parse().unwrap_or(0.0),
            _ => 0.0,
        }
    }
    pub fn bool(&self) -> bool {
        *self == Json::Bool(true)
    }
    pub fn items(&self) -> &[Json] {
        match self {
            Json::Arr(a) => a,
            _ => &[],
        }
    }
    pub fn fields(&self) -> &[(String, Json)] {
        match self {
            Json::Obj(o) => o,
            _ => &[],
        }
    }
}

pub fn quote(text: &str) -> String {
    Json::Str(text.to_owned()).to_string()
}

impl fmt::Display for Json {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Json::Null => f.write_str("null"),
            Json::Bool(b) => write!(f, "{b}"),
            Json::Num(n) => f.write_str(n),
            Json::Str(s) => {
                f.write_str("\"")?;
                for c in s.chars() {
                    match c {
                        '"' => f.write_str("\\\"")?,
                        '\\' => f.write_str("\\\\")?,
                        c if (c as u32) < 0x20 => write!(f, "\\u{:04x}", c as u32)?,
                        c => write!(f, "{c}")?,
                    }
                }
                f.write_str("\"")
            }
            Json::Arr(a) => {
                f.write_str("[")?;
                for (i, v) in a.iter().enumerate() {
                    write!(f, "{}{v}", if i > 0 { "," } else { "" })?;
                }
                f.write_str("]")
            }
            Json::Obj(o) => {
                f.write_str("{")?;
                for (i, (k, v)) in o.iter().enumerate() {
                    write!(f, "{}{}:{v}", if i > 0 { "," } else { "" }, quote(k))?;
                }
                f.write_str("}")
            }
        }
    }
}

struct Parser<'a> {
    b: &'a [u8],
    i: usize,
}

impl Parser<'_> {
    fn space(&mut self) {
        while self.b.get(self.i).is_some_and(|c| c.is_ascii_whitespace()) {
            self.i += 1;
        }
    }
    fn eat(&mut self, word: &str) -> Option<()> {
        self.b[self.i..]
            .starts_with(word.as_bytes())
            .then(|| self.i += word.len())
    }
    fn value(&mut self) -> Option<Json> {
        self.space();
        match *self.b.get(self.i)? {
            b'n' => self.eat("null").map(|()| Json::Null),
            b't' => self.eat("true").map(|()| Json::Bool(true)),
            b'f' => self.eat("false").map(|()| Json::Bool(false)),
            b'"' => self.string().map(Json::Str),
            b'[' => {
                self.i += 1;
                let mut items = Vec::new();
                loop {
                    self.space();
                    if self.b.get(self.i) == Some(&b']') && items.is_empty() {
                        self.i += 1;
                        return Some(Json::Arr(items));
                    }
                    items.push(self.value()?);
                    self.space();
                    let c = *self.b.get(self.i)?;
                    self.i += 1;
                    match c {
                        b',' => {}
                        b']' => return Some(Json::Arr(items)),
                        _ => return None,
                    }
                }
            }
            b'{' => {
                self.i += 1;
                let mut fields = Vec::new();
                loop {
                    self.space();
                    if self.b.get(self.i) == Some(&b'}') && fields.is_empty() {
                        self.i += 1;
                        return Some(Json::Obj(fields));
                    }
                    let key = self.string()?;
                    self.space();
                    self.eat(":")?;
                    fields.push((key, self.value()?));
                    self.space();
                    let c = *self.b.get(self.i)?;
                    self.i += 1;
                    match c {
                        b',' => self.space(),
                        b'}' => return Some(Json::Obj(fields)),
                        _ => return None,
                    }
                }
            }
            _ => {
                let from = self.i;
                while self.b.get(self.i).is_some_and(|c| b"+-.0123456789eE".contains(c)) {
                    self.i += 1;
                }
                let text = std::str::from_utf8(&self.b[from..self.i]).ok()?;
                text.parse::<f64>().ok()?;
                Some(Json::Num(text.to_owned()))
            }
        }
    }
    fn string(&mut self) -> Option<String> {
        self.eat("\"")?;
        let mut out = Vec::new();
        loop {
            let c = *self.b.get(self.i)?;
            self.i += 1;
            match c {
                b'"' => return String::from_utf8(out).ok(),
                b'\\' => {
                    let c = *self.b.get(self.i)?;
                    self.i += 1;
                    match c {
                        b'n' => out.push(b'\n'),
                        b't' => out.push(b'\t'),
                        b'r' => out.push(b'\r'),
                        b'b' => out.push(8),
                        b'f' => out.push(12),
                        b'u' => {
                            let hex = std::str::from_utf8(self.b.get(self.i..self.i + 4)?).ok()?;
                            self.i += 4;
                            let code = u32::from_str_radix(hex, 16).ok()?;
                            let c = char::from_u32(code).unwrap_or('?');
                            out.extend(c.to_string().as_bytes());
                        }
                        c => out.push(c),
                    }
                }
                c => out.push(c),
            }
        }
    }
}
