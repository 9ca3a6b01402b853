//! JSON as far as the store's calls need it.

use std::collections::BTreeMap;

#[derive(Debug, Clone, PartialEq)]
pub enum Json {
    Null,
    Number(u64),
    Text(String),
    List(Vec<Json>),
    Object(BTreeMap<String, Json>),
}

impl Json {
    pub fn read(text: &str) -> Json {
        let bytes: Vec<char> = text.chars().collect();
        let mut at = 0;
        value(&bytes, &mut at).unwrap_or(Json::Null)
    }

    pub fn get(&self, name: &str) -> &Json {
        match self {
            Json::Object(fields) => fields.get(name).unwrap_or(&Json::Null),
            _ => &Json::Null,
        }
    }

    pub fn text(&self) -> &str {
        match self {
            Json::Text(text) => text,
            _ => "",
        }
    }

    pub fn number(&self) -> u64 {
        match self {
            Json::Number(number) => *number,
            _ => 0,
        }
    }

    pub fn list(&self) -> &[Json] {
        match self {
            Json::List(list) => list,
            _ => &[],
        }
    }
}

fn blank(text: &[char], at: &mut usize) {
    while text.get(*at).is_some_and(|sign| sign.is_whitespace()) {
        *at += 1;
    }
}

fn value(text: &[char], at: &mut usize) -> Option<Json> {
    blank(text, at);
    match text.get(*at)? {
        '{' => {
            *at += 1;
            let mut fields = BTreeMap::new();
            loop {
                blank(text, at);
                match text.get(*at)? {
                    '}' => {
                        *at += 1;
                        return Some(Json::Object(fields));
                    }
                    ',' => *at += 1,
                    _ => {
                        let name = string(text, at)?;
                        blank(text, at);
                        *at += 1;
                        fields.insert(name, value(text, at)?);
                    }
                }
            }
        }
        '[' => {
            *at += 1;
            let mut list = Vec::new();
            loop {
                blank(text, at);
                match text.get(*at)? {
                    ']' => {
                        *at += 1;
                        return Some(Json::List(list));
                    }
                    ',' => *at += 1,
                    _ => list.push(value(text, at)?),
                }
            }
        }
        '"' => string(text, at).map(Json::Text),
        sign if sign.is_ascii_digit() => {
            let begun = *at;
            while text.get(*at).is_some_and(|sign| sign.is_ascii_digit()) {
                *at += 1;
            }
            let digits: String = text[begun..*at].iter().collect();
            digits.parse().ok().map(Json::Number)
        }
        _ => {
            while text
                .get(*at)
                .is_some_and(|sign| !matches!(sign, ',' | '}' | ']'))
            {
                *at += 1;
            }
            Some(Json::Null)
        }
    }
}

fn string(text: &[char], at: &mut usize) -> Option<String> {
    *at += 1;
    let mut whole = String::new();
    loop {
        match text.get(*at)? {
            '"' => {
                *at += 1;
                return Some(whole);
            }
            '\\' => {
                whole.push(*text.get(*at + 1)?);
                *at += 2;
            }
            sign => {
                whole.push(*sign);
                *at += 1;
            }
        }
    }
}

const SIGNS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

/// Standard base64 with padding.
pub fn base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for three in bytes.chunks(3) {
        let number = three
            .iter()
            .fold(0_u32, |sum, byte| (sum << 8) | u32::from(*byte))
            << (8 * (3 - three.len()));
        for position in 0..4 {
            if position <= three.len() {
                let index = (number >> (18 - 6 * position)) & 63;
                text.push(SIGNS[index as usize] as char);
            } else {
                text.push('=');
            }
        }
    }
    text
}
