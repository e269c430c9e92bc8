#include "support/Section.h"
#include "wasabiloom/base/ResultCode.h"

#include <gmock/gmock.h>

#include <fstream>
#include <set>
#include <sstream>

namespace wasabiloom::tests {

using base::AllResultCodes;
using base::ResultCodeEntry;

TEST(ResultCodes, AreOneListForCodeAndDocs)
{
  Section("every number and every name is used once", [] {
    std::set<int> numbers;
    std::set<std::string_view> names;
    for (const ResultCodeEntry& entry : AllResultCodes()) {
      EXPECT_TRUE(numbers.insert(static_cast<int>(entry.m_code)).second);
      EXPECT_TRUE(names.insert(entry.m_name).second);
    }
  });
  Section("the page lists exactly the codes of the program", [] {
    std::ifstream page(SOURCE_DIR "/docs/RESULT-CODES.md");
    std::vector<std::string> rows;
    for (std::string line; std::getline(page, line);) {
      if (line.starts_with("| ") && line.size() > 2 &&
          std::isdigit(static_cast<unsigned char>(line[2])) != 0) {
        rows.push_back(line);
      }
    }
    std::vector<std::string> expected;
    for (const ResultCodeEntry& entry : AllResultCodes()) {
      std::ostringstream row;
      row << "| " << static_cast<int>(entry.m_code) << " | " << entry.m_name
          << " | " << entry.m_meaning << " |";
      expected.push_back(row.str());
    }
    EXPECT_THAT(rows, testing::ElementsAreArray(expected));
  });
}

} // namespace wasabiloom::tests
