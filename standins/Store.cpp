/// Stand-in for the users' store: serves the files of a folder as items, read
/// and watch only, over HTTP. A file's path below the folder is its key. The
/// file `.faults` in that folder makes it misbehave: `down` answers 503,
/// `silent` never answers, `forget` drops the history once, `restore` returns
/// once to the state of some seconds ago: revisions go back and the header
/// `Store-Era` of all answers rises by one. A further line
/// `refuse A.B.C.D:PORT ...` answers 503 to the callers of these addresses, of
/// those that it listens on.

#include "Support.h"

#include "wasabiloom/daemon/HttpServer.h"
#include "wasabiloom/daemon/SignalWatch.h"

#include <QCoreApplication>
#include <QTimer>
#include <QUrl>
#include <QUrlQuery>
#include <nlohmann/json.hpp>

#include <deque>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <map>
#include <sstream>

namespace {

namespace options = boost::program_options;

using nlohmann::json;
using wasabiloom::daemon::HttpReply;
using wasabiloom::daemon::HttpServer;

constexpr int kPollMs = 20;
constexpr int kGone = 410;
constexpr int kUnavailable = 503;
constexpr std::size_t kPageItems = 50;

/// Age of the state that a restore returns to, in polls; 3 s.
constexpr std::size_t kCopyAgePolls = 150;

/// Time after a restore until the values of the folder are written again, in
/// polls; 2 s.
constexpr std::size_t kRewritePolls = 100;

std::string
ReadWhole(const std::filesystem::path& aPath)
{
  std::ifstream file(aPath, std::ios::binary);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

HttpReply
Reply(const json& aBody)
{
  return { 200, "application/json", aBody.dump() };
}

/// The items of the folder, with a history of changes.
class Store
{
public:
  explicit Store(std::string aFolder)
    : m_folder(std::move(aFolder))
  {
  }

  /// Looks for changed files; answers the watches that wait for them.
  void Poll()
  {
    const std::string faults = ReadWhole(m_folder + "/.faults");
    m_down = faults.starts_with("down");
    m_silent = faults.starts_with("silent");
    if (faults.starts_with("forget") && !m_hasForgotten) {
      m_history.clear();
      m_historyFrom = m_revision;
    }
    m_hasForgotten = faults.starts_with("forget");
    const auto refused = faults.find("refuse ");
    m_refused = refused == std::string::npos ? "" : faults.substr(refused);
    const bool restores = faults.starts_with("restore");
    if (restores && !m_hasRestored) {
      Restore();
    }
    m_hasRestored = restores;
    if (m_restoredPolls > 0) {
      --m_restoredPolls;
    } else {
      Compare(ReadFolder());
    }
    NoteCopy();
    AnswerWatches();
  }

  /// Answers a call that came to the address `aListener`.
  void Answer(const std::string& aListener,
              const std::string& aTarget,
              const HttpServer::Responder& aSend)
  {
    const HttpServer::Responder aReply = [this, aSend](HttpReply aAnswer) {
      if (m_era > 0) {
        aAnswer.m_headers["Store-Era"] = std::to_string(m_era);
      }
      aSend(aAnswer);
    };
    const QUrl url(QString::fromStdString(aTarget));
    const QUrlQuery query(url);
    if (m_silent) {
      return;
    }
    const bool isRefused = m_refused.find(aListener) != std::string::npos;
    if (m_down || isRefused) {
      aReply({ kUnavailable, "text/plain", "" });
    } else if (url.path() == "/kv-range") {
      aReply(List(Value(query, "Prefix"), Value(query, "after")));
    } else if (url.path() == "/kv-watch") {
      m_watches.push_back({ Value(query, "Prefix"),
                            std::stoull("0" + Value(query, "after")),
                            std::stoll("0" + Value(query, "WaitMs")) / kPollMs,
                            aReply });
      AnswerWatches();
    } else {
      aReply({ 404, "text/plain", "" });
    }
  }

private:
  struct Item
  {
    std::string m_value;
    std::uint64_t m_revision = 0;
  };

  struct Watch
  {
    std::string m_prefix;
    std::uint64_t m_after = 0;
    std::int64_t m_polls = 0;
    HttpServer::Responder m_reply;
  };

  /// A past state, for a restore.
  struct Copy
  {
    std::map<std::string, Item> m_items;
    std::uint64_t m_revision = 0;
    std::size_t m_polls = 0;
  };

  /// Notes the state if it has changed, and drops states that are too old.
  void NoteCopy()
  {
    ++m_polls;
    if (m_copies.empty() || m_copies.back().m_revision != m_revision) {
      m_copies.push_back({ m_items, m_revision, m_polls });
    }
    while (m_copies.size() > 1 &&
           m_polls - m_copies[1].m_polls >= kCopyAgePolls) {
      m_copies.pop_front();
    }
  }

  /// Returns to the oldest copy. What the folder holds beyond it is written
  /// again after kRewritePolls.
  void Restore()
  {
    const Copy copy = m_copies.front();
    m_copies = { copy };
    m_items = copy.m_items;
    m_revision = copy.m_revision;
    std::erase_if(m_history, [&](const json& aEvent) {
      return aEvent["Revision"] > m_revision;
    });
    m_historyFrom = std::min(m_historyFrom, m_revision);
    ++m_era;
    m_restoredPolls = kRewritePolls;
  }

  static std::string Value(const QUrlQuery& aQuery, const char* aName)
  {
    return aQuery.queryItemValue(aName, QUrl::FullyDecoded).toStdString();
  }

  static json Write(const std::string& aKey, const Item& aItem)
  {
    const auto value = QByteArray::fromStdString(aItem.m_value).toBase64();
    return { { "Key", aKey },
             { "Value", value.toStdString() },
             { "Revision", aItem.m_revision },
             { "CreateRevision", aItem.m_revision },
             { "Lease", 0 } };
  }

  std::map<std::string, std::string> ReadFolder() const
  {
    std::map<std::string, std::string> values;
    for (const auto& entry :
         std::filesystem::recursive_directory_iterator(m_folder)) {
      const std::string key =
        std::filesystem::relative(entry.path(), m_folder).string();
      if (entry.is_regular_file() && key != ".faults") {
        values[key] = ReadWhole(entry.path());
      }
    }
    return values;
  }

  void Compare(const std::map<std::string, std::string>& aValues)
  {
    for (const auto& [key, value] : aValues) {
      const auto known = m_items.find(key);
      if (known == m_items.end() || known->second.m_value != value) {
        m_items[key] = { value, ++m_revision };
        m_history.push_back(Write(key, m_items[key]));
      }
    }
    std::erase_if(m_items, [&](const auto& aItem) {
      if (aValues.contains(aItem.first)) {
        return false;
      }
      m_history.push_back({ { "Key", aItem.first },
                            { "Revision", ++m_revision },
                            { "Removed", true } });
      return true;
    });
  }

  HttpReply List(const std::string& aPrefix, const std::string& aAfter) const
  {
    json items = json::array();
    bool hasMore = false;
    for (auto item = m_items.upper_bound(aAfter); item != m_items.end();
         ++item) {
      if (!item->first.starts_with(aPrefix)) {
        continue;
      }
      hasMore = items.size() == kPageItems;
      if (hasMore) {
        break;
      }
      items.push_back(Write(item->first, item->second));
    }
    return Reply({ { "items", items },
                   { "HasMore", hasMore },
                   { "StoreRevision", m_revision } });
  }

  void AnswerWatches()
  {
    std::vector<Watch> waiting;
    waiting.swap(m_watches);
    for (Watch& watch : waiting) {
      json events = json::array();
      for (const json& event : m_history) {
        const bool isNew = event["Revision"] > watch.m_after;
        const auto key = event["Key"].get<std::string>();
        if (isNew && key.starts_with(watch.m_prefix)) {
          events.push_back(event);
        }
      }
      if (watch.m_after < m_historyFrom || watch.m_after > m_revision) {
        watch.m_reply({ kGone, "text/plain", "" });
      } else if (!events.empty() || watch.m_polls-- <= 0) {
        watch.m_reply(
          Reply({ { "events", events }, { "StoreRevision", m_revision } }));
      } else {
        m_watches.push_back(std::move(watch));
      }
    }
  }

  std::string m_folder;
  std::map<std::string, Item> m_items;
  std::vector<json> m_history;
  std::uint64_t m_historyFrom = 0;
  std::uint64_t m_revision = 1;
  std::vector<Watch> m_watches;
  bool m_down = false;
  bool m_silent = false;
  bool m_hasForgotten = false;
  bool m_hasRestored = false;
  /// States of the last seconds, the oldest first.
  std::deque<Copy> m_copies;
  std::size_t m_polls = 0;
  std::size_t m_restoredPolls = 0;
  std::uint64_t m_era = 0;
  std::string m_refused;
};

int
Serve(int aCount, char** aWords)
{
  QCoreApplication application(aCount, aWords);
  options::options_description known("standin_store: the users' store");
  known.add_options()("listen",
                      options::value<std::string>()->required(),
                      "one address, or several with commas between them")(
    "folder", options::value<std::string>()->required());
  const standins::Options chosen(aCount, aWords, known);
  const wasabiloom::daemon::SignalWatch signalWatch(
    [] { QCoreApplication::quit(); });
  Store store(chosen.Text("folder"));
  store.Poll();
  std::vector<std::unique_ptr<HttpServer>> servers;
  std::istringstream listeners(chosen.Text("listen"));
  for (std::string listener; std::getline(listeners, listener, ',');) {
    servers.push_back(std::make_unique<HttpServer>(
      [&store, listener](const std::string& aTarget,
                         const HttpServer::Responder& aReply) {
        store.Answer(listener, aTarget, aReply);
      }));
    const auto address = wasabiloom::base::ParseEndpoint(listener);
    if (!address) {
      throw std::runtime_error("no address: " + listener);
    }
    standins::Need([&]() -> wasabiloom::base::Result<void> {
      return servers.back()->Listen(*address);
    });
  }
  QTimer timer;
  QObject::connect(&timer, &QTimer::timeout, [&] { store.Poll(); });
  timer.start(kPollMs);
  return QCoreApplication::exec();
}

} // namespace

int
main(int argc, char** argv)
{
  return standins::RunMain("standin_store", [&] { return Serve(argc, argv); });
}
