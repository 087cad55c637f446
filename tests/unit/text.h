// Texts of tests.
#ifndef CB_TEXT_H
#define CB_TEXT_H

#include <string>

// Returns TEXT with the first FROM in it replaced by TO.
inline std::string
Replace (std::string text, const std::string &from, const std::string &to)
{
  return text.replace (text.find (from), from.size (), to);
}

#endif
