#include "support/Registry.h"
#include "support/Section.h"
#include "wasabiloom/daemon/LineBuffer.h"

#include <gmock/gmock.h>

#include <array>

#include <fcntl.h>
#include <unistd.h>

namespace wasabiloom::tests {

using daemon::kMaxWaitingBytes;
using daemon::LineBuffer;
using testing::HasSubstr;
using testing::StartsWith;

namespace {

/// A pipe whose reading end can be emptied.
class Pipe
{
public:
  Pipe()
  {
    EXPECT_EQ(pipe2(m_ends.data(), O_CLOEXEC), 0);
    fcntl(m_ends[0], F_SETFL, O_NONBLOCK);
  }
  ~Pipe()
  {
    close(m_ends[0]);
    close(m_ends[1]);
  }

  int Writer() const { return m_ends[1]; }

  std::string ReadAll() const
  {
    std::string text;
    std::array<char, 4096> piece{};
    ssize_t count = 0;
    while ((count = read(m_ends[0], piece.data(), piece.size())) > 0) {
      text.append(piece.data(), static_cast<std::size_t>(count));
    }
    return text;
  }

private:
  std::array<int, 2> m_ends{};
};

} // namespace

TEST(LineBuffer, WritesLinesInOrder)
{
  const Pipe pipe;
  LineBuffer buffer(pipe.Writer());
  buffer.Append("one");
  buffer.Append("two");
  buffer.Flush();
  EXPECT_EQ(pipe.ReadAll(), "one\ntwo\n");
}

TEST(LineBuffer, KeepsALineOneLineWhateverItQuotes)
{
  const Pipe pipe;
  LineBuffer buffer(pipe.Writer());
  buffer.Append("zone=a\nevent=ready\tcaf\xc3\xa9");
  buffer.Flush();
  EXPECT_EQ(pipe.ReadAll(), "zone=a event=ready caf\xc3\xa9\n");
}

TEST(LineBuffer, NeverWaitsAndSaysWhatItDropped)
{
  const Pipe pipe;
  LineBuffer buffer(pipe.Writer());
  const std::string line(1023, 'x');
  const std::size_t lines = 4 * kMaxWaitingBytes / (line.size() + 1);
  for (std::size_t i = 0; i < lines; ++i) {
    buffer.Append(line);
    buffer.Flush();
  }
  EXPECT_GT(buffer.Dropped(), 0U);
  std::string text = pipe.ReadAll();
  for (int i = 0; i < 100; ++i) {
    buffer.Flush();
    text += pipe.ReadAll();
  }
  buffer.Append("after");
  buffer.Flush();
  text = pipe.ReadAll();
  EXPECT_THAT(text, StartsWith("event=log_lines_dropped total="));
  EXPECT_THAT(text, HasSubstr("\nafter\n"));
}

TEST(LineBuffer, KeepsToItsAllowance)
{
  constexpr std::int64_t kPerSecond = 1000;
  const Pipe pipe;
  LineBuffer buffer(pipe.Writer());
  buffer.SetAllowance(kPerSecond);
  const std::string line(99, 'x');
  for (int i = 0; i < 1000; ++i) {
    buffer.Append(line);
  }
  buffer.Flush();
  EXPECT_EQ(pipe.ReadAll().size(), kPerSecond * daemon::kAllowanceBurstS);
  EXPECT_EQ(buffer.Dropped(), 900U);

  Section("more follows as time passes, and says what is missing", [&] {
    buffer.Refill(At(0));
    buffer.Refill(At(1));
    buffer.Append(line);
    buffer.Flush();
    EXPECT_THAT(pipe.ReadAll(),
                StartsWith("event=log_lines_dropped total=900"));
  });
  Section("no limit is a choice", [&] {
    buffer.SetAllowance(0);
    for (int i = 0; i < 1000; ++i) {
      buffer.Append(line);
    }
    EXPECT_EQ(buffer.Dropped(), 900U);
  });
}

} // namespace wasabiloom::tests
